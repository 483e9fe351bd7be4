#ifndef BASILSPUR_JOBS_TASK_COPY_H_
#define BASILSPUR_JOBS_TASK_COPY_H_

#include <compare>
#include <cstdint>
#include <string>

#include "base/clock.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// Runs that are expected to take equally long.
///
/// Thread safety: a plain value.
struct RunKind {
  std::string queue;
  std::string image;
  int step = 0;

  auto operator<=>(const RunKind& other) const = default;
};

/// A copy of a task, and what led to it.
///
/// Thread safety: a plain value.
struct TaskCopy {
  int run = 0;        ///< Number of the copy's run.
  int first_run = 0;  ///< Number of the slow run; 0: not known.
  std::string vm;
  std::string first_vm;
  RunKind kind;
  Millis started_at;
  Millis age;        ///< Of the slow run when the copy was started.
  Millis threshold;  ///< Age from which the run counted as slow.
  /// The start was not sent yet: the journal does not list the run.
  bool withheld = false;
};

/// A copy was started, ended done first, or the first run did.
enum class CopyEventKind { kStarted, kWon, kLost };

/// An event in the life of a copy, for the log.
struct CopyEvent {
  CopyEventKind kind = CopyEventKind::kStarted;
  TaskRef task;
  TaskCopy copy;
  Millis since_start;  ///< Of the copy.
};

/// Numbers of copies since the owner took over.
struct CopyCounts {
  std::int64_t started = 0;
  std::int64_t won = 0;
  std::int64_t lost = 0;
  /// Plans in which a run was slow, but another task waited for capacity.
  std::int64_t deferred = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TASK_COPY_H_
