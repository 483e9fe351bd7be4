#ifndef BASILSPUR_JOBS_WAITING_TASK_H_
#define BASILSPUR_JOBS_WAITING_TASK_H_

#include <array>

#include "base/clock.h"
#include "jobs/job.h"
#include "jobs/placement_refusal.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// How many VMs can host a task, and why the others cannot.
///
/// Thread safety: a plain value.
struct PlacementOptions {
  int vms = 0;       ///< All VMs of the cell.
  int open_vms = 0;  ///< VMs that no rule excludes.
  /// Number of VMs by the first rule that excludes them.
  std::array<int, kPlacementRefusalCount> refused = {};
  /// Highest pace, on any VM that only the predicted tail latencies may
  /// exclude, at which these would stay below the placement limit.
  int max_pace_percent = 0;
};

/// A task without a run whose dependencies are done, and why it waits.
///
/// Thread safety: a plain value.
struct WaitingTask {
  TaskRef task;
  Millis age;   ///< Since the job was accepted.
  Millis idle;  ///< Since when nothing of the job runs; 0: something does.
  JobTier tier = JobTier::kOnTime;
  /// False while the owner still waits for VMs that may execute runs of
  /// earlier owners.
  bool may_start = false;
  PlacementOptions options;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_WAITING_TASK_H_
