#ifndef BASILSPUR_JOBS_ORDER_H_
#define BASILSPUR_JOBS_ORDER_H_

#include <string>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

enum class OrderKind { kStart, kStop, kPace };

/// An order to a VM about one run.
///
/// Thread safety: a plain value.
struct Order {
  OrderKind kind = OrderKind::kStart;
  std::string vm;
  TaskRef task;
  int run = 0;
  std::string payload;     ///< kStart.
  std::string checkpoint;  ///< kStart; empty: from the beginning.
  int percent = 100;       ///< kPace: the share of its speed.
};

/// What became of an order.
enum class OrderOutcome {
  kDone,        ///< Carried out, now or before.
  kStaleToken,  ///< A newer owner has given orders to the VM.
  kSuperseded,  ///< A later run of the task was there, or this one ended.
  kExpired,     ///< The lease named in the order had run out.
  kNoRoom,      ///< The VM guards its room, and the run did not fit.
  kNoTicket,    ///< The placement ticket was missing or not valid.
  kRefused,     ///< Not carried out, for a passing reason.
  kOtherLife,   ///< The VM has restarted since.
  kUnknown,     ///< No answer; it may be carried out, even later.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_ORDER_H_
