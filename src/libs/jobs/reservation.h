#ifndef BASILSPUR_JOBS_RESERVATION_H_
#define BASILSPUR_JOBS_RESERVATION_H_

#include "base/clock.h"
#include "jobs/task_ref.h"
#include "records/resources.h"

namespace basilspur::jobs {

/// Capacity of a VM that is reserved for a long-running task.
struct Reservation {
  TaskRef task;
  records::Resources need;
  Millis until;
  /// The task was stopped on another VM to move here, so no other task that is
  /// charged for processor time may use the VM. Otherwise, long-running tasks
  /// that already fit may be started despite the reservation.
  bool exclusive = false;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RESERVATION_H_
