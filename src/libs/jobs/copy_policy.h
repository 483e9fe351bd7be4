#ifndef BASILSPUR_JOBS_COPY_POLICY_H_
#define BASILSPUR_JOBS_COPY_POLICY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "jobs/step_spec.h"
#include "jobs/task_copy.h"
#include "jobs/vm.h"

namespace basilspur::jobs {

/// What the owner knows of the progress of a run.
struct RunProgress {
  Millis age;
  int percent = 0;     ///< As last reported; 0: not known.
  Millis percent_age;  ///< Age of the run when `percent` was reported.
};

/// A run that takes longer than others.
struct SlowRun {
  Millis threshold;  ///< Age from which the run counts as slow.
  Millis expected;   ///< Expected run time of a copy.
};

/// Present copies and runs, to which the number of copies is limited.
struct CopyLoad {
  bool others_wait = false;  ///< A task of the cell waits for capacity.
  int cell_copies = 0;       ///< Copies in the cell at present.
  int cell_runs = 0;
  int job_copies = 0;  ///< Copies of the job's tasks that were started.
  int job_tasks = 0;
  int attempts = 0;  ///< Failed runs after which the job fails.
};

/// Decides when a run of a step marked `speculative` is so slow that a copy of
/// its task is started, and on which VMs.
///
/// Load: steps of 10 short tasks (0.68 to 1 s) of which 3 of 100 take seven
/// times as long, so that one step in four waits for a single slow task. Run
/// times differ by queue, image and step, and callers' estimates are off by
/// half, so a run is compared with runs that were observed. If a task is slow
/// wherever it runs, its copy is slow, too: copies of a kind of run that keep
/// losing are stopped by a budget.
///
/// Thread safety: one thread at a time.
class CopyPolicy {
 public:
  /// Whether tasks of the step may have copies.
  static bool IsEligible(const StepSpec& spec);
  /// Whether `task` may get a copy now, by its own state.
  static bool IsEligible(const Task& task);

  /// Records that a run of this kind has succeeded after `took`.
  void OnRunDone(const RunKind& kind, Millis took);
  /// A copy of this kind was started.
  void OnCopyStarted(const RunKind& kind);
  /// A copy of this kind ended done before the first run.
  void OnCopyWon(const RunKind& kind);

  /// Returns how slow the run is, or nothing if it is not slow or too few runs
  /// were observed. `siblings` are the run times of the done tasks of the same
  /// step, which has `count` tasks.
  std::optional<SlowRun> Assess(const RunKind& kind,
                                std::vector<Millis> siblings, int count,
                                const RunProgress& run) const;
  /// Whether a copy of a task of this kind may be started beside `load`.
  bool MayStart(const RunKind& kind, const Task& task,
                const CopyLoad& load) const;
  /// Returns the VMs of `vms` that may host a copy of a run on `first`: those
  /// on other racks, or all but `first` if `any_rack`.
  static std::vector<Vm*> VmsForCopy(const std::vector<Vm*>& vms,
                                     const Vm& first, bool any_rack);

 private:
  struct Observed {
    std::vector<Millis> times;  ///< Of the newest runs, as a ring.
    std::size_t next = 0;
    double tokens = 0;
  };

  Observed& ObservedOf(const RunKind& kind);

  std::map<RunKind, Observed> observed_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_COPY_POLICY_H_
