#ifndef BASILSPUR_NET_STREAM_TIMER_H_
#define BASILSPUR_NET_STREAM_TIMER_H_

#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "base/clock.h"
#include "net/asio.h"

namespace basilspur::net {

/// Cancels the pending operations of a stream after a time-out, and leaves the
/// connection open. The timer is disarmed when the object is destroyed.
///
/// Thread safety: only the stream's thread.
class StreamTimer {
 public:
  using CancelPredicate = std::function<bool()>;

  /// `should_cancel` is called when the time-out has passed; the operations are
  /// cancelled if it returns true or is null. Precondition: the stream outlives
  /// the timer.
  StreamTimer(boost::beast::tcp_stream& stream, Millis timeout,
              CancelPredicate should_cancel = nullptr);
  ~StreamTimer();

  StreamTimer(const StreamTimer&) = delete;
  StreamTimer& operator=(const StreamTimer&) = delete;

  /// True if the timer has cancelled the stream's operations.
  bool HasCancelled() const;

 private:
  struct State;

  asio::steady_timer timer_;
  std::shared_ptr<State> state_;
};

/// State that the timer's handler shares. The handler of a wait that has
/// already completed may run after the timer is destroyed; `destroyed` makes it
/// do nothing.
struct StreamTimer::State {
  bool cancelled = false;
  bool destroyed = false;
};

inline StreamTimer::StreamTimer(boost::beast::tcp_stream& stream,
                                Millis timeout, CancelPredicate should_cancel)
    : timer_(stream.get_executor()), state_(std::make_shared<State>()) {
  timer_.expires_after(std::chrono::milliseconds(timeout.count));
  timer_.async_wait([&stream, state = state_,
                     predicate = std::move(should_cancel)](error_code failure) {
    if (failure || state->destroyed || (predicate && !predicate())) return;
    state->cancelled = true;
    stream.cancel();
  });
}

inline StreamTimer::~StreamTimer() { state_->destroyed = true; }

inline bool StreamTimer::HasCancelled() const { return state_->cancelled; }

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_STREAM_TIMER_H_
