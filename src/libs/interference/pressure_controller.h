#ifndef BASILSPUR_INTERFERENCE_PRESSURE_CONTROLLER_H_
#define BASILSPUR_INTERFERENCE_PRESSURE_CONTROLLER_H_

#include <optional>
#include <set>
#include <span>

#include "base/clock.h"
#include "interference/eviction_budget.h"
#include "interference/interference_model.h"
#include "interference/mix_history.h"
#include "interference/pressure_limits.h"
#include "interference/run_on_vm.h"

namespace basilspur::interference {

/// Controls the slowdown of the services on one VM. Throttles the runs that
/// contribute most to it, releases them once the slowdown has decreased, and
/// evicts a run if throttling is not sufficient. Reports arrive late, so
/// measurements taken before the effect of the last action trigger no action.
///
/// Pure logic. Thread safety: one thread at a time.
class PressureController {
 public:
  /// Precondition: `model` and `budget` outlive the controller.
  PressureController(const PressureLimits& limits, InterferenceModel& model,
                     EvictionBudget& budget);

  /// Updates the workload mix of the VM. Must be called before OnReport() and
  /// whenever the mix changes.
  void OnMix(std::vector<std::string> services, std::span<const RunOnVm> runs,
             Millis now);

  /// Processes a slowdown that was measured at `measured_at`. Returns the run
  /// to evict now, if any.
  std::optional<records::RunRef> OnReport(double slowdown, Millis measured_at,
                                          Millis now);

  /// Returns the runs that have to be throttled.
  const std::set<records::RunRef>& Throttled() const { return throttled_; }

 private:
  struct Antagonist {
    const RunOnVm* run = nullptr;
    double contribution = 0;
    double intensity = 0;  ///< Contribution relative to the processor share.
  };

  Antagonist FindWorstAntagonist(bool among_throttled) const;
  double ContributionOf(const RunOnVm& run) const;
  void Throttle(double slowdown, Millis now);
  void Release(double slowdown, Millis now);
  std::optional<records::RunRef> Evict(Millis now);

  const PressureLimits limits_;
  InterferenceModel& model_;
  EvictionBudget& budget_;
  MixHistory history_;
  Mix mix_;
  std::vector<RunOnVm> runs_;
  std::set<records::RunRef> throttled_;
  Millis last_measured_at_;
  Millis last_action_at_;
  std::optional<Millis> below_release_since_;
  std::optional<Millis> above_evict_since_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_PRESSURE_CONTROLLER_H_
