#ifndef BASILSPUR_ENTRY_PRESSURE_KEEPER_H_
#define BASILSPUR_ENTRY_PRESSURE_KEEPER_H_

#include <functional>
#include <optional>
#include <span>
#include <string>

#include "base/clock.h"
#include "infra/worker_messages.h"
#include "interference/interference_model.h"
#include "interference/pressure_monitor.h"
#include "interference/profile.h"
#include "lease/vm_view.h"
#include "link/messages.h"
#include "metrics/registry.h"

namespace basilspur::entry {

/// Answers the pressure on the VMs that an entry owns, and tells its peers
/// what it has learned of interference.
///
/// Thread safety: one thread at a time.
class PressureKeeper {
 public:
  using Tell = std::function<void(const link::Message& message)>;

  /// Precondition: `model`, `profile` and `metrics` outlive the keeper.
  /// `tell` reaches all peers.
  PressureKeeper(const interference::Profile& profile,
                 interference::InterferenceModel& model,
                 metrics::Registry& metrics, Tell tell);

  /// Notes what runs on a VM. Call with each change.
  void OnView(const lease::VmView& view, Millis now);

  /// Takes in a worker's reports. Returns the run to evict now, if there is
  /// one. Precondition: OnView() was called for the VM.
  std::optional<records::RunRef> OnReports(
      const lease::VmView& view, std::span<const infra::RunReport> reports,
      Millis now);

  bool IsThrottled(const std::string& vm, const records::RunRef& run) const;

  /// Forgets a VM that is no longer owned.
  void RemoveVm(const std::string& vm) { monitor_.RemoveVm(vm); }

  /// Tells peers what is new, once in a while.
  void Step(Millis now);

 private:
  interference::InterferenceModel& model_;
  metrics::Registry& metrics_;
  const Tell tell_;
  interference::PressureMonitor monitor_;
  Millis told_at_;
  Millis told_all_at_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_PRESSURE_KEEPER_H_
