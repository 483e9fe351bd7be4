#ifndef BASILSPUR_JOBS_STEP_SPEC_H_
#define BASILSPUR_JOBS_STEP_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "records/resources.h"

namespace basilspur::jobs {

/// One step of a job: `count` identical tasks.
///
/// Thread safety: a plain value.
struct StepSpec {
  int count = 0;
  records::Resources need;        ///< Resources of each task.
  std::int64_t estimate_ms = 0;   ///< Caller's rough estimate for a task.
  std::vector<int> dependencies;  ///< Steps that must be done before.
  bool saves_progress = false;    ///< The tasks write checkpoints.
  bool gang = false;              ///< The tasks run all at once or not at all.
  bool rack_local = false;        ///< Slower if spread over racks.
  bool speculative = false;       ///< Several runs of a task may compete.
  bool long_running = false;      ///< Runs until the job is cancelled.
  std::string required_label;     ///< Empty: any VM.
  std::string data_rack;  ///< The tasks are slower on other racks; empty: none.
  int max_per_vm = 0;     ///< Tasks of this step per VM; 0: unlimited.
  std::string image;      ///< Tasks of the same image behave alike.
  std::int64_t tail_target_ms = 0;  ///< Tail latency target; 0: none.
  bool best_effort = false;  ///< Uses only CPU time that other tasks leave.
  int may_miss = 0;          ///< Number of tasks that may be absent at a time.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.count, self.need, self.estimate_ms, self.dependencies,
            self.saves_progress, self.gang, self.rack_local, self.speculative,
            self.long_running, self.required_label, self.data_rack,
            self.max_per_vm, self.image, self.tail_target_ms, self.best_effort,
            self.may_miss);
  }

  /// Resources that a task occupies on a VM. Best-effort tasks occupy no CPU.
  records::Resources Charge() const {
    records::Resources charge = need;
    if (best_effort) charge.cpu_millis = 0;
    return charge;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_STEP_SPEC_H_
