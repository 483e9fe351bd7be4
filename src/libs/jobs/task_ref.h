#ifndef BASILSPUR_JOBS_TASK_REF_H_
#define BASILSPUR_JOBS_TASK_REF_H_

#include <compare>
#include <string>

namespace basilspur::jobs {

/// Identifies a task of a job. The runs of a task are numbered from 1.
///
/// Thread safety: a plain value.
struct TaskRef {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskRef& other) const = default;

  /// Whether both are tasks of the same step and occurrence of a job.
  bool IsOfStep(const TaskRef& other) const {
    return job == other.job && occurrence == other.occurrence &&
           step == other.step;
  }

  /// Returns "JOB.OCCURRENCE.STEP.INDEX".
  std::string ToString() const {
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step) +
           "." + std::to_string(index);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TASK_REF_H_
