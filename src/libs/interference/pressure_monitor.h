#ifndef BASILSPUR_INTERFERENCE_PRESSURE_MONITOR_H_
#define BASILSPUR_INTERFERENCE_PRESSURE_MONITOR_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "interference/eviction_budget.h"
#include "interference/pressure_controller.h"
#include "interference/profile.h"

namespace basilspur::interference {

/// Controls the slowdown of services on all VMs of an entry, which share an
/// eviction budget.
///
/// Pure logic. Thread safety: one thread at a time.
class PressureMonitor {
 public:
  /// Precondition: `profile` and `model` outlive the monitor.
  PressureMonitor(const Profile& profile, InterferenceModel& model);

  /// See PressureController::OnMix().
  void OnMix(const std::string& vm, std::vector<std::string> services,
             std::span<const RunOnVm> runs, Millis now);

  /// See PressureController::OnReport(). Reports of a VM whose mix is unknown
  /// are ignored.
  std::optional<records::RunRef> OnReport(const std::string& vm,
                                          double slowdown, Millis measured_at,
                                          Millis now);

  /// Returns the runs on a VM that have to be throttled.
  const std::set<records::RunRef>& Throttled(const std::string& vm) const;

  /// Removes the state of a VM.
  void RemoveVm(const std::string& vm) { controllers_.erase(vm); }

 private:
  const Profile& profile_;
  InterferenceModel& model_;
  EvictionBudget budget_;
  std::map<std::string, PressureController> controllers_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_PRESSURE_MONITOR_H_
