#ifndef BASILSPUR_JOBS_VM_REPORT_H_
#define BASILSPUR_JOBS_VM_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// Reason for the end of a run.
enum class RunEnd {
  kDone,
  kFailed,   ///< The run or its VM failed.
  kStopped,  ///< The run was stopped by a command.
  kLapsed,   ///< The VM's lease expired.
  kBroken,   ///< Another member of the run's gang ended.
  kAlone,    ///< The other members of the run's gang did not start.
};

/// A run that is present on a VM.
struct RunningRunReport {
  TaskRef task;
  int run = 0;
  std::string checkpoint;
  /// Completed percentage of the work; 100 for a long-running task that is
  /// executing.
  int percent = 0;
  /// Measured over the last half second: the tail latency in ms for a task with
  /// a tail latency target, the thousandths of a core in use for other tasks.
  std::int64_t measurement = 0;
};

/// The end of a run, which the VM reports until the owner acknowledges it.
struct EndedRunReport {
  std::int64_t number =
      0;  ///< Starts at 1 and rises within a VM's incarnation.
  TaskRef task;
  int run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

/// A VM's answer to a renewal of its lease.
///
/// Thread safety: a plain value.
struct VmReport {
  std::int64_t clock_ms = 0;  ///< Time on the VM's monotonic clock.
  /// When the VM's worker started, in Unix ms; 0: unknown.
  std::int64_t worker_start_ms = 0;
  std::vector<RunningRunReport> running;
  std::vector<EndedRunReport> ended;
  /// There may be more ends than `ended` lists: the rest follows once these are
  /// acknowledged.
  bool may_have_more_ends = false;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_REPORT_H_
