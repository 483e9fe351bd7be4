#include "sim/simulated_time.h"

#include <algorithm>

namespace basilspur::sim {

static constexpr Millis kWallOffset(1'700'000'000'000);

Millis SimulatedTime::Wall() const { return now_ + kWallOffset; }

void SimulatedTime::Schedule(net::Timer& timer, Millis delay) {
  Remove(timer);
  const Millis due = now_ + std::max(delay, Millis(0));
  const Key key{due.count, ++scheduled_};
  timers_[key] = &timer;
  keys_[&timer] = key;
}

void SimulatedTime::Remove(net::Timer& timer) {
  const auto found = keys_.find(&timer);
  if (found == keys_.end()) return;
  timers_.erase(found->second);
  keys_.erase(found);
}

void SimulatedTime::AdvanceToNextTimer(Millis limit) {
  const Millis next =
      timers_.empty() ? limit : Millis(timers_.begin()->first.first);
  now_ = std::max(now_, std::min(next, limit));
  while (!timers_.empty() && timers_.begin()->first.first <= now_.count) {
    net::Timer& timer = *timers_.begin()->second;
    Remove(timer);
    timer.Cancel();
  }
}

}  // namespace basilspur::sim
