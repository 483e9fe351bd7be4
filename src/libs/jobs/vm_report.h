#ifndef BASILSPUR_JOBS_VM_REPORT_H_
#define BASILSPUR_JOBS_VM_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// How a run ended.
enum class RunEnd {
  kDone,
  kFailed,   ///< By its own fault or the VM's.
  kStopped,  ///< By order.
  kLapsed,   ///< Its lease ran out.
  kBroken,   ///< Another member of its gang ended.
  kAlone,    ///< The other members of its gang did not come.
};

/// A run that a VM has.
struct RunningRow {
  TaskRef task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;  ///< Of the work; 100 for a long run that is at work.
  /// Of the last half second: tail latency in ms for a task with a target,
  /// thousandths of a core in use for others.
  std::int64_t figure = 0;
};

/// An end that a VM keeps until it is acknowledged.
struct EndedRow {
  std::int64_t number = 0;  ///< Rises from 1 in the VM's lifetime.
  TaskRef task;
  int run = 0;
  RunEnd end = RunEnd::kFailed;
  std::string checkpoint;
};

/// A VM's answer to a renewal of its lease.
///
/// Thread safety: a plain value.
struct VmReport {
  std::int64_t clock_ms = 0;  ///< The VM's steady clock.
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_REPORT_H_
