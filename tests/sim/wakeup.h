#ifndef TESTS_SIM_WAKEUP_H_
#define TESTS_SIM_WAKEUP_H_

#include <cstdint>
#include <map>

#include "net/timer.h"

namespace basilspur::sim {

/// Like cell::Signal, with a time limit for each wait.
///
/// Thread safety: only from the thread of its io_context.
class Wakeup {
 public:
  net::asio::awaitable<void> WaitFor(Millis limit) {
    net::Timer timer(co_await net::asio::this_coro::executor);
    timer.ExpireAfter(limit);
    const std::int64_t number = ++waits_;
    waiting_[number] = &timer;
    net::error_code ignored;
    co_await timer.AsyncWait(
        net::asio::redirect_error(net::asio::use_awaitable, ignored));
    waiting_.erase(number);
  }

  void NotifyAll() {
    for (const auto& [number, timer] : waiting_) timer->Cancel();
  }

 private:
  std::int64_t waits_ = 0;
  /// In the order of the waits, so that the simulation is deterministic.
  std::map<std::int64_t, net::Timer*> waiting_;
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_WAKEUP_H_
