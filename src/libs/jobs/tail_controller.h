#ifndef BASILSPUR_JOBS_TAIL_CONTROLLER_H_
#define BASILSPUR_JOBS_TAIL_CONTROLLER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "interference/interference_model.h"
#include "jobs/tail_record.h"
#include "jobs/vm.h"
#include "jobs/vm_report.h"

namespace basilspur::jobs {

/// Thresholds for tail latencies, as shares of the tasks' targets, and time
/// limits of a TailController.
struct TailControllerSettings {
  /// Maximum predicted tail latency with which a best-effort run is placed.
  double placement_limit_share = 0.66;
  /// Measured tail latency above which best-effort runs are throttled.
  double throttle_above_share = 0.85;
  /// Measured tail latency below which throttled runs are released.
  double release_below_share = 0.6;
  /// Time for which a tail latency may exceed its target before all best-effort
  /// runs on the VM are paused.
  Millis max_time_over_target{1'500};
  /// Minimum time between pace changes on a VM.
  Millis min_pace_change_interval{600};
  /// Minimum time between two observations of a VM that the model learns from.
  Millis min_observation_interval{400};
};

/// Learns how much best-effort images raise the tail latencies of the tasks on
/// the same VM, and decides where best-effort runs may be placed and at which
/// pace they execute. The model has a weight for each pair of images, since the
/// increase depends on the pair, and adapts to load that changes tail latencies
/// within seconds.
///
/// Thread safety: one thread at a time.
class TailController {
 public:
  explicit TailController(TailControllerSettings settings);

  /// Updates the model from a VM's report. Precondition: the measurements of
  /// the report are stored in `vm`.
  void Observe(Vm& vm, Millis now);

  /// Returns the highest pace, as a percentage of full speed, at which a run of
  /// `image` can start on the VM with all predicted tail latencies below the
  /// placement limit. 0: it can't start.
  int MaxPacePercent(const Vm& vm, const std::string& image,
                     std::int64_t cpu_millis) const;

  /// Returns an upper bound of the tail latencies, as shares of their targets,
  /// with an additional run of `image` that uses `cpu_millis`; 0 on a VM
  /// without serving runs. Empty if a tail latency is already so high, by
  /// measurement or prediction, that it would be throttled.
  std::optional<double> HighestTargetShareWith(const Vm& vm,
                                               const std::string& image,
                                               std::int64_t cpu_millis) const;

  /// Throttles or releases the VM's best-effort runs by the measured tail
  /// latencies.
  void AdjustPaces(Vm& vm, Millis now);

  /// Returns the estimates that were learned in this cell.
  TailRecord MakeRecord() const;
  /// Restores the estimates of an earlier owner of the cell.
  void Restore(const TailRecord& record);
  /// Merges the estimates of the owner of another cell.
  void MergePeerRecord(const std::string& cell, const TailRecord& record);

 private:
  /// Tail latency of an image's tasks without best-effort runs on the VM.
  struct Baseline {
    double mean_ms = 0;
    int measurements = 0;
  };

  std::vector<TailPrediction> PredictTails(const Vm& vm,
                                           const std::string& image) const;
  /// Returns the cached predictions, which are computed first if there are
  /// none.
  const std::vector<TailPrediction>& PredictionsFor(
      const Vm& vm, const std::string& image) const;
  double BaselineMs(const std::string& image, std::int64_t target_ms) const;
  void MergeBaselines(const TailRecord& record);
  void UpdateBaseline(const RunOnVm& run, double baseline_ms);
  bool HasLongViolation(const Vm& vm, Millis now) const;
  void Throttle(Vm& vm, const RunOnVm& victim, Millis now);
  void Release(Vm& vm, Millis now);
  void SetPace(Vm& vm, RunOnVm& run, int percent, Millis now);

  TailControllerSettings settings_;
  interference::InterferenceModel model_;
  std::map<std::string, Baseline> baselines_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TAIL_CONTROLLER_H_
