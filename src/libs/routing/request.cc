#include "routing/request.h"

namespace basilspur::routing {

const char* NameOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kWouldMissDeadline:
      return "would-miss-deadline";
    case RefusalReason::kDisplaced:
      return "displaced";
    case RefusalReason::kNoTarget:
      return "no-target";
    case RefusalReason::kStopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace basilspur::routing
