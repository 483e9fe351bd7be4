#ifndef BASILSPUR_JOBS_HELD_END_H_
#define BASILSPUR_JOBS_HELD_END_H_

#include <cstdint>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// The end of a run that must not be acknowledged yet, since the task may still
/// be started after it.
///
/// Thread safety: a plain value.
struct HeldEnd {
  std::int64_t number = 0;  ///< At its VM.
  std::int64_t worker_start_ms = 0;
  TaskRef task;
  int run = 0;
  /// A later run of the task may start; false: a late copy of a start may.
  bool waits_for_later_run = false;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_HELD_END_H_
