#ifndef BASILSPUR_CELL_SIGNAL_H_
#define BASILSPUR_CELL_SIGNAL_H_

#include <chrono>

#include "base/clock.h"
#include "net/asio.h"

namespace basilspur::cell {

/// Resumes coroutines that wait for a change. A waiter has to check its
/// condition after each wake-up.
///
/// Thread safety: only from the thread of its io_context.
class Signal {
 public:
  explicit Signal(net::asio::io_context& context) : timer_(context) {
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
  }

  void NotifyAll() { timer_.cancel(); }

  /// Completes at the next NotifyAll().
  net::asio::awaitable<void> Wait() {
    net::error_code ignored;
    co_await timer_.async_wait(
        net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }

 private:
  net::asio::steady_timer timer_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_SIGNAL_H_
