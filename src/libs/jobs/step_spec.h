#ifndef BASILSPUR_JOBS_STEP_SPEC_H_
#define BASILSPUR_JOBS_STEP_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "records/resources.h"

namespace basilspur::jobs {

/// One step of a job: `count` tasks that are alike.
///
/// Thread safety: a plain value.
struct StepSpec {
  int count = 0;
  records::Resources need;          ///< Of each task.
  std::int64_t estimate_ms = 0;     ///< The submitter's rough guess for a task.
  std::vector<int> after;           ///< Earlier steps that must be done first.
  bool saves_progress = false;      ///< Tasks write checkpoints.
  bool gang = false;                ///< Tasks only work all together.
  bool rack_local = false;          ///< Slower when spread over racks.
  bool speculative = false;         ///< Copies of a task may race.
  bool long_running = false;        ///< Runs until the job is cancelled.
  std::string required_label;       ///< Empty: any VM.
  std::string data_rack;            ///< Slower on other racks; empty: none.
  int max_per_vm = 0;               ///< Tasks of this step on a VM; 0: any.
  std::string image;                ///< Tasks of one image behave alike.
  std::int64_t tail_target_ms = 0;  ///< Tail latency to keep; 0: none.
  bool best_effort = false;         ///< Runs on processor time left unused.
  int may_miss = 0;                 ///< Tasks that may be away at a time.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.count, self.need, self.estimate_ms, self.after,
            self.saves_progress, self.gang, self.rack_local, self.speculative,
            self.long_running, self.required_label, self.data_rack,
            self.max_per_vm, self.image, self.tail_target_ms, self.best_effort,
            self.may_miss);
  }

  /// What a VM's room is charged for a task.
  records::Resources Charge() const {
    records::Resources charge = need;
    if (best_effort) charge.cpu_millis = 0;
    return charge;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_STEP_SPEC_H_
