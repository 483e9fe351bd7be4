#ifndef BASILSPUR_CELL_SIGNAL_H_
#define BASILSPUR_CELL_SIGNAL_H_

#include "net/asio.h"
#include "net/timer.h"

namespace basilspur::cell {

/// Resumes coroutines that wait for a change. A waiter has to check its
/// condition after each wake-up.
///
/// Thread safety: only from the thread of its io_context.
class Signal {
 public:
  explicit Signal(net::asio::io_context& context) : timer_(context) {
    timer_.ExpireNever();
  }

  void NotifyAll() { timer_.Cancel(); }

  /// Completes at the next NotifyAll().
  net::asio::awaitable<void> Wait() {
    net::error_code ignored;
    co_await timer_.AsyncWait(
        net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }

  /// Completes at the next NotifyAll(), or after `timeout`. Only one coroutine
  /// may wait this way, and no other one at the same time.
  net::asio::awaitable<void> WaitFor(Millis timeout) {
    timer_.ExpireAfter(timeout);
    co_await Wait();
    timer_.ExpireNever();
  }

 private:
  net::Timer timer_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_SIGNAL_H_
