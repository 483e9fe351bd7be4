#ifndef BASILSPUR_JOBS_SLOW_TASK_H_
#define BASILSPUR_JOBS_SLOW_TASK_H_

#include "base/clock.h"
#include "jobs/copy_policy.h"
#include "jobs/job.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// A task whose only run is slow.
///
/// Thread safety: a plain value.
struct SlowTask {
  Job* job;
  TaskRef ref;
  SlowRun slow;
  Millis age;  ///< Of the run.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SLOW_TASK_H_
