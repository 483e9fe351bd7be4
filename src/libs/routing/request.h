#ifndef BASILSPUR_ROUTING_REQUEST_H_
#define BASILSPUR_ROUTING_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace basilspur::routing {

/// Identifies a request within its entry.
using Ticket = std::uint64_t;

/// Urgency as in RFC 9218: 0 is the most urgent, 7 the least.
inline constexpr int kMaxUrgency = 7;
inline constexpr int kDefaultUrgency = 3;

/// The properties of a request that routing depends on.
struct Request {
  Ticket ticket = 0;
  int urgency = kDefaultUrgency;
  Millis arrived;
  Millis deadline;  ///< On the monotonic clock.
  /// Address of the target at which the previous attempt failed; it is used
  /// only if no other target is available. Empty if there is none.
  std::string avoided_target;
};

enum class RefusalReason {
  kQueueFull,
  kWouldMissDeadline,
  kDisplaced,  ///< A more urgent request replaced it in the full queue.
  kNoTarget,
  kStopping,
};

/// The name of a reason in metrics and responses; must not change.
const char* NameOf(RefusalReason reason);

/// The request is rejected: it has not run and will not run.
struct Refusal {
  Ticket ticket = 0;
  RefusalReason reason = RefusalReason::kQueueFull;
  Millis retry_after;
};

/// The request holds a slot of this target until ServiceRouter::Release().
struct Grant {
  Ticket ticket = 0;
  std::string target;
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_REQUEST_H_
