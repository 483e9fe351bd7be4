#include "jobs/run_event.h"

namespace basilspur::jobs {

const char* NameOf(RunEventKind kind) {
  switch (kind) {
    case RunEventKind::kStartConfirmed:
      return "starts_confirmed";
    case RunEventKind::kFound:
      return "runs_found";
    case RunEventKind::kOrphaned:
      return "runs_orphaned";
    case RunEventKind::kDone:
      return "runs_done";
    case RunEventKind::kDoneBefore:
      return "ends_after_done";
    case RunEventKind::kVoidByLeaseBound:
      return "ends_void_by_lease";
    case RunEventKind::kVoidByClock:
      return "ends_void_by_clock";
    case RunEventKind::kVoidByLapse:
      return "ends_void_by_lapse";
    case RunEventKind::kUnknownEnd:
      return "ends_unknown";
    case RunEventKind::kReleasedByLease:
      return "runs_released_by_lease";
    case RunEventKind::kReleasedByRestart:
      return "runs_released_by_restart";
    case RunEventKind::kReleasedAsAbsent:
      return "runs_released_as_absent";
    case RunEventKind::kReleasedAsRefused:
      return "runs_released_as_refused";
    case RunEventKind::kEndHeld:
      return "ends_held";
    case RunEventKind::kReleasedByFullList:
      return "ends_released_by_full_list";
  }
  return "";
}

std::string RunEvent::ToString() const {
  std::string text = task.ToString() + "/" + std::to_string(run) + "@" + vm;
  if (end > 0) text += "#" + std::to_string(end);
  return text + "(" + std::to_string(lease_left.count) + ")";
}

}  // namespace basilspur::jobs
