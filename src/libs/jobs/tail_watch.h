#ifndef BASILSPUR_JOBS_TAIL_WATCH_H_
#define BASILSPUR_JOBS_TAIL_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "interference/interference_model.h"
#include "jobs/tail_record.h"
#include "jobs/vm.h"
#include "jobs/vm_report.h"

namespace basilspur::jobs {

struct TailSettings {
  double place_limit = 0.66;     ///< Predicted share of a target, when placing.
  double throttle_from = 0.85;   ///< Measured share of a target.
  double release_below = 0.6;    ///< Measured share of a target.
  Millis longest_over{1'500};    ///< Over its target, until all yield.
  Millis pace_interval{600};     ///< Between changes at a VM.
  Millis observe_interval{400};  ///< Between lessons from a VM.
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

  /// The percent of its speed at which a run of `image` could come in, with
  /// all tails below the limit for placing; 0: not at all.
  int PaceFor(const Vm& vm, const std::string& image,
              std::int64_t cpu_millis) const;

  /// Decides the paces of the VM's best-effort runs anew.
  void Pace(Vm& vm, Millis now);

  /// What was learned here.
  TailRecord Learned() const;
  /// Goes on from what an earlier owner of the cell had learned.
  void Restore(const TailRecord& record);
  /// Takes in what the owner of another cell has learned.
  void LearnFrom(const std::string& cell, const TailRecord& record);

 private:
  /// The tail of an image's tasks with nothing beside them.
  struct Base {
    double mean_ms = 0;
    int measurements = 0;
  };

  std::vector<TailLine> LinesOf(const Vm& vm, const std::string& image) const;
  double BaseOf(const std::string& image, std::int64_t target_ms) const;
  void LearnBases(const TailRecord& record);
  void LearnBase(const RunOnVm& run, double alone_ms);
  bool IsOverTooLong(const Vm& vm, Millis now) const;
  void Throttle(Vm& vm, const RunOnVm& victim, Millis now);
  void Release(Vm& vm, Millis now);
  void SetPace(Vm& vm, RunOnVm& run, int percent, Millis now);

  TailSettings settings_;
  interference::InterferenceModel model_;
  std::map<std::string, Base> bases_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TAIL_WATCH_H_
