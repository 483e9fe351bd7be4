#ifndef BASILSPUR_JOBS_KNOWN_RUN_H_
#define BASILSPUR_JOBS_KNOWN_RUN_H_

#include <string>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// A run of a job that its owner knows of, or a task that another cell runs for
/// it.
///
/// Thread safety: a plain value.
struct KnownRun {
  TaskRef task;
  int run = 0;         ///< 0: the task is delegated.
  std::string vm;      ///< Empty: the task is delegated.
  int host_cell = -1;  ///< -1: this cell runs the task.

  /// Returns "TASK/RUN@VM", or "TASK@cellCELL".
  std::string ToString() const {
    if (host_cell >= 0)
      return task.ToString() + "@cell" + std::to_string(host_cell);
    return task.ToString() + "/" + std::to_string(run) + "@" + vm;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_KNOWN_RUN_H_
