#include "net/stream_timer.h"

#include <chrono>
#include <utility>

namespace basilspur::net {

/// State that the timer's handler shares. The handler of a wait that has
/// already completed may run after the timer is destroyed; `destroyed` makes it
/// do nothing.
struct StreamTimer::State {
  bool cancelled = false;
  bool destroyed = false;
};

StreamTimer::StreamTimer(boost::beast::tcp_stream& stream, Millis timeout,
                         CancelPredicate should_cancel)
    : timer_(stream.get_executor()), state_(std::make_shared<State>()) {
  timer_.expires_after(std::chrono::milliseconds(timeout.count));
  timer_.async_wait([&stream, state = state_,
                     predicate = std::move(should_cancel)](error_code failure) {
    if (failure || state->destroyed || (predicate && !predicate())) return;
    state->cancelled = true;
    stream.cancel();
  });
}

StreamTimer::~StreamTimer() { state_->destroyed = true; }

bool StreamTimer::HasCancelled() const { return state_->cancelled; }

}  // namespace basilspur::net
