#ifndef BASILSPUR_JOBS_UNREPORTED_RUN_H_
#define BASILSPUR_JOBS_UNREPORTED_RUN_H_

#include <string>

#include "base/clock.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// What the owner waits for before a run that a reachable VM does not list as
/// running is confirmed or released.
enum class RunWait {
  kStart,         ///< The answer to its start.
  kStopSent,      ///< The answer to a command to stop it.
  kStopDuration,  ///< The VM has confirmed the stop, and may need time for it.
  kEnd,           ///< It is missing in the reports, and no end of it is listed.
};

/// Returns the name of what is awaited, for the log.
const char* NameOf(RunWait wait);

/// A run that counts as executing although its VM, which answers, has confirmed
/// nothing about it for a while.
///
/// Thread safety: a plain value.
struct UnreportedRun {
  TaskRef task;
  int run = 0;
  std::string vm;
  RunWait wait = RunWait::kStart;
  /// Since the VM last confirmed the run or a command about it, or since it was
  /// first missing in a report.
  Millis age;
  bool long_running = false;

  /// Returns "TASK/RUN@VM:wait=NAME:age_ms=N".
  std::string ToString() const;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_UNREPORTED_RUN_H_
