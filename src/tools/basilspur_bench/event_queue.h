#ifndef BASILSPUR_TOOLS_BASILSPUR_BENCH_EVENT_QUEUE_H_
#define BASILSPUR_TOOLS_BASILSPUR_BENCH_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace basilspur::bench {

/// The event queue of a discrete-event simulation. Events at the same time run
/// in the order in which they were scheduled. Times are in microseconds.
class EventQueue {
 public:
  using Action = std::function<void()>;

  std::int64_t Now() const { return now_; }

  void ScheduleAt(std::int64_t time, Action action) {
    events_.push({time, next_sequence_++, std::move(action)});
  }
  void ScheduleAfter(std::int64_t delay, Action action) {
    ScheduleAt(now_ + delay, std::move(action));
  }

  /// Runs all events up to and including `end`.
  void RunUntil(std::int64_t end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    std::int64_t time;
    std::uint64_t sequence;
    Action action;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };

  std::int64_t now_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace basilspur::bench

#endif  // BASILSPUR_TOOLS_BASILSPUR_BENCH_EVENT_QUEUE_H_
