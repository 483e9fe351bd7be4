#ifndef BASILSPUR_JOBS_RESTORED_JOB_H_
#define BASILSPUR_JOBS_RESTORED_JOB_H_

#include <string>

#include "base/clock.h"

namespace basilspur::jobs {

/// A job that had not ended, as a new owner restored it from the journal.
///
/// Thread safety: a plain value.
struct RestoredJob {
  std::string id;
  int home_cell = -1;  ///< See JobRecord::home_cell.
  int done_tasks = 0;
  int runs = 0;  ///< That may be executing.
  int delegated_tasks = 0;
  Millis age;  ///< Since its acceptance.

  /// Returns "ID:done=N:runs=N:delegated=N:home=CELL:age_ms=N".
  std::string ToString() const {
    return id + ":done=" + std::to_string(done_tasks) +
           ":runs=" + std::to_string(runs) +
           ":delegated=" + std::to_string(delegated_tasks) +
           ":home=" + std::to_string(home_cell) +
           ":age_ms=" + std::to_string(age.count);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RESTORED_JOB_H_
