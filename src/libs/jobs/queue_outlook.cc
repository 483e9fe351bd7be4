#include "jobs/queue_outlook.h"

#include <algorithm>

namespace basilspur::jobs {

static constexpr std::int64_t kMillisPerSecond = 1'000;
/// A wave of refused callers is let in once this part of the jobs has ended.
static constexpr double kRoomShare = 0.05;
/// Without any end, the rate is not known.
static constexpr Millis kUnknownWait(10'000);
static constexpr Millis kMaxWait(30'000);

void QueueOutlook::OnJobEnded(Millis now) {
  const std::int64_t number = now.count / kMillisPerSecond;
  Second& second = ended_[static_cast<std::size_t>(number) % kSeconds];
  if (second.number != number) second = {number, 0};
  ++second.ended;
}

Millis QueueOutlook::RoomIn(std::size_t active, Millis now) const {
  const std::int64_t newest = now.count / kMillisPerSecond;
  int ended = 0;
  for (const Second& second : ended_) {
    const std::int64_t age = newest - second.number;
    if (age < static_cast<std::int64_t>(kSeconds)) ended += second.ended;
  }
  if (ended == 0) return kUnknownWait;
  const double per_second = static_cast<double>(ended) / kSeconds;
  const double seconds = kRoomShare * static_cast<double>(active) / per_second;
  return std::min(Millis(static_cast<std::int64_t>(seconds * kMillisPerSecond)),
                  kMaxWait);
}

}  // namespace basilspur::jobs
