#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");

static const char* NameOf(jobs::CopyEventKind kind) {
  switch (kind) {
    case jobs::CopyEventKind::kStarted:
      return "copy_started";
    case jobs::CopyEventKind::kWon:
      return "copy_won";
    case jobs::CopyEventKind::kLost:
      return "copy_lost";
  }
  return "";
}

void CellOwner::LogCopies() {
  for (const jobs::CopyEvent& event : scheduler_.TakeCopyEvents()) {
    const jobs::TaskCopy& copy = event.copy;
    kLog.Info("event=" + std::string(NameOf(event.kind)) +
              " task=" + event.task.ToString() + LogFields() +
              " run=" + std::to_string(copy.run) + " vm=" + copy.vm +
              " first_run=" + std::to_string(copy.first_run) +
              " first_vm=" + copy.first_vm +
              " first_age_ms=" + std::to_string(copy.age.count) +
              " threshold_ms=" + std::to_string(copy.threshold.count) +
              " since_start_ms=" + std::to_string(event.since_start.count));
  }
}

}  // namespace basilspur::cell
