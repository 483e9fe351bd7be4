#ifndef BASILSPUR_JOBS_LONG_RUNNING_WAIT_H_
#define BASILSPUR_JOBS_LONG_RUNNING_WAIT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "jobs/task_ref.h"
#include "jobs/waiting_task.h"

namespace basilspur::jobs {

/// What the next start of a long-running task without a run waits for.
enum class LongRunningHold {
  kRoom,          ///< No VM of this cell has room for it.
  kReservedRoom,  ///< A VM is reserved for it, and other runs have to end
                  ///< there.
  kStart,         ///< A start was sent, and the VM has not confirmed it.
  kEnd,           ///< A former run may still be executing.
  kJournal,       ///< The change of its cell is not durable yet.
  kOwner,         ///< The owner may not start runs yet.
  kRetry,         ///< The last run failed a short while ago.
  kHost,          ///< It is delegated, and the host has not started it.
  kHostSilent,    ///< It is delegated, and the host has not answered.
  kRecall,        ///< The host has not returned it yet.
};

inline constexpr std::size_t kLongRunningHoldCount = 10;

/// Names as used in logs, by the value of LongRunningHold.
inline constexpr std::array<std::string_view, kLongRunningHoldCount>
    kLongRunningHoldNames = {"room",        "reserved_room", "start", "end",
                             "journal",     "owner",         "retry", "host",
                             "host_silent", "recall"};

/// A long-running task that has had no confirmed run for a while.
///
/// Thread safety: a plain value.
struct LongRunningWait {
  TaskRef task;
  Millis age;  ///< Since this owner last knew it to run, or since it took over.
  LongRunningHold hold = LongRunningHold::kRoom;
  int host_cell = -1;   ///< The cell that it is delegated to; -1: none.
  int delegations = 0;  ///< So far.
  std::int64_t need_cpu_millis = 0;
  /// VMs of this cell that would have room once only long-running tasks are
  /// left there.
  int vms_beside_long_running = 0;
  std::string reserved_vm;  ///< Empty: none.
  std::int64_t reserved_free_cpu_millis = 0;
  PlacementOptions options;  ///< In this cell.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_LONG_RUNNING_WAIT_H_
