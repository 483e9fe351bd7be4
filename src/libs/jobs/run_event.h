#ifndef BASILSPUR_JOBS_RUN_EVENT_H_
#define BASILSPUR_JOBS_RUN_EVENT_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// What a scheduler has concluded about a run, or about its end.
enum class RunEventKind {
  kStartConfirmed,  ///< By an answer to the start or by a report.
  kFound,           ///< A report lists a run that the journal does not.
  kOrphaned,        ///< The same, but it belongs to no task; it is stopped.
  kDone,            ///< Its end as done counts.
  kDoneBefore,      ///< An end as done of a task that was done already.
  // An end as done that does not count:
  kVoidByLeaseBound,  ///< The VM's lease was taken as expired before the
                      ///< report.
  kVoidByClock,       ///< The VM's clock shows that its lease had expired.
  kVoidByLapse,       ///< The VM lists a later end by an expired lease.
  kUnknownEnd,        ///< The run is not known; acknowledged all the same.
  // The run no longer counts as executing:
  kReleasedByLease,    ///< The last lease of its VM has expired.
  kReleasedByRestart,  ///< Another incarnation or worker of the VM has
                       ///< answered.
  kReleasedAsAbsent,   ///< The VM's reports lack it for longer than a stop
                       ///< takes.
  kReleasedAsRefused,  ///< Its only start was refused or not sent.
  // Its end is not acknowledged yet, since the task may be started after it:
  kEndHeld,
  kReleasedByFullList,  ///< It was held, and the VM's list of ends is full.
};
inline constexpr int kRunEventKinds =
    static_cast<int>(RunEventKind::kReleasedByFullList) + 1;

/// Returns the event's name in the log.
const char* NameOf(RunEventKind kind);

/// A conclusion about a run, for the log.
///
/// Thread safety: a plain value.
struct RunEvent {
  RunEventKind kind = RunEventKind::kStartConfirmed;
  TaskRef task;
  int run = 0;
  std::string vm;
  std::int64_t end = 0;  ///< Number of the run's end at its VM; 0: none.
  /// Time until the VM's last lease expires, as far as this owner knows.
  Millis lease_left;

  /// Returns "TASK/RUN@VM", followed by "#END" if there is one, and
  /// "(LEASE_LEFT)" in ms.
  std::string ToString() const;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RUN_EVENT_H_
