#ifndef BASILSPUR_JOBS_TAIL_WATCH_H_
#define BASILSPUR_JOBS_TAIL_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "interference/interference_model.h"
#include "jobs/vm.h"
#include "jobs/vm_report.h"

namespace basilspur::jobs {

struct TailSettings {
  double place_limit = 0.7;     ///< Predicted share of a target, when placing.
  double throttle_from = 0.85;  ///< Measured share of a target.
  double release_below = 0.6;   ///< Measured share of a target.
  Millis longest_over{1'500};   ///< Over its target, until all yield.
  Millis pace_interval{600};    ///< Between changes at a VM.
  Millis observe_interval{400};  ///< Between lessons from a VM.
};

/// A new pace for a best-effort run.
struct PaceChange {
  RunKey run;
  int percent = 100;
};

/// Learns how best-effort images raise the tails of the tasks beside them, and
/// decides where they may run and how fast. It answers load whose tails differ
/// by pairs of images and change within seconds.
///
/// Thread safety: one thread at a time.
class TailWatch {
 public:
  explicit TailWatch(TailSettings settings);

  /// Learns from a VM's report; its figures have been noted in `vm`.
  void Observe(Vm& vm, Millis now);

  /// The greatest predicted share of a target on the VM, if a run of `image`
  /// with `cpu_millis` came in addition. 0: nothing there has a target.
  double Predict(const Vm& vm, const std::string& image,
                 std::int64_t cpu_millis) const;

  /// True if a predicted share of a target leaves enough.
  bool Allows(double share) const { return share <= settings_.place_limit; }

  /// What to change at the VM now.
  std::vector<PaceChange> Pace(Vm& vm, Millis now);

 private:
  std::vector<TailLine> LinesOf(const Vm& vm, const std::string& image) const;
  double BaseOf(const std::string& image, std::int64_t target_ms) const;
  std::vector<PaceChange> Throttle(Vm& vm, const RunOnVm& victim, Millis now);
  std::vector<PaceChange> Release(Vm& vm, Millis now);

  TailSettings settings_;
  interference::InterferenceModel model_;
  std::map<std::string, double> bases_;  ///< Tails without others, in ms.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TAIL_WATCH_H_
