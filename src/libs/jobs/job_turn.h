#ifndef BASILSPUR_JOBS_JOB_TURN_H_
#define BASILSPUR_JOBS_JOB_TURN_H_

#include "jobs/job.h"

namespace basilspur::jobs {

/// A job's turn in a plan: all of its waiting tasks, or the first one only.
///
/// Thread safety: a plain value.
struct JobTurn {
  Job* job;
  JobTier tier;
  bool first_task_only;
  int late_rank = 0;  ///< See Job::late_rank.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOB_TURN_H_
