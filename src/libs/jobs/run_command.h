#ifndef BASILSPUR_JOBS_RUN_COMMAND_H_
#define BASILSPUR_JOBS_RUN_COMMAND_H_

#include <string>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// kPace changes the speed of a best-effort run.
enum class RunCommandKind { kStart, kStop, kPace };

/// A command to a VM that concerns one run.
///
/// Thread safety: a plain value.
struct RunCommand {
  RunCommandKind kind = RunCommandKind::kStart;
  std::string vm;
  TaskRef task;
  int run = 0;
  std::string payload;     ///< For kStart.
  std::string checkpoint;  ///< For kStart; empty: start from the beginning.
  int percent = 100;       ///< For kPace: share of the full speed.
};

/// Outcome of a command.
enum class RunCommandOutcome {
  kDone,        ///< Carried out, now or before.
  kStaleToken,  ///< A newer owner has sent commands to the VM.
  kSuperseded,  ///< The VM has had a later run, or this one ended.
  kExpired,     ///< The lease deadline in the command had passed.
  kNoRoom,      ///< The VM enforces its capacity, and the run did not fit.
  kNoTicket,    ///< The placement ticket was missing or not valid.
  kRefused,     ///< Not carried out, for a transient reason.
  kNotSent,     ///< Withdrawn by the owner before it was sent.
  /// The VM has restarted in the meantime. Its next incarnation has answered
  /// and has not carried the command out.
  kRestarted,
  kOtherWorker,  ///< Not sent: the VM's worker has started again.
  kUnknown,      ///< No answer; it may be carried out, even later.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RUN_COMMAND_H_
