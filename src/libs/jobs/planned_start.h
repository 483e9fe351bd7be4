#ifndef BASILSPUR_JOBS_PLANNED_START_H_
#define BASILSPUR_JOBS_PLANNED_START_H_

#include "base/clock.h"
#include "jobs/task_ref.h"
#include "records/resources.h"

namespace basilspur::jobs {

/// The start of a waiting task on a VM, at the time at which enough of the runs
/// there are expected to have ended. Other tasks may use the VM if they end
/// before, or if they leave enough for it.
///
/// Thread safety: a plain value.
struct PlannedStart {
  TaskRef task;
  Millis at;
  /// Resources that are expected to be left beside the task at that time.
  records::Resources spare;

  /// Whether the start is planned for a task of the same step.
  bool IsForStepOf(const TaskRef& other) const {
    return task.job == other.job && task.occurrence == other.occurrence &&
           task.step == other.step;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PLANNED_START_H_
