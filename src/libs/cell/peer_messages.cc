#include "cell/peer_messages.h"

namespace basilspur::cell {

const char* NameOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSubmit:
      return "submit";
    case RequestKind::kStatus:
      return "status";
    case RequestKind::kCancel:
      return "cancel";
    case RequestKind::kCount:
      return "count";
    case RequestKind::kStepDown:
      return "step_down";
  }
  return "";
}

}  // namespace basilspur::cell
