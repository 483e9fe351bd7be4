#ifndef TESTS_SIM_CALL_H_
#define TESTS_SIM_CALL_H_

#include <memory>
#include <optional>
#include <utility>

#include "net/timer.h"

namespace basilspur::sim {

/// Runs `remote` on the network's io_context, so that it goes on while the
/// calling node is suspended or after it was killed. Returns its answer; empty
/// if there is none within `timeout`.
template <class T>
net::asio::awaitable<std::optional<T>> Call(
    net::asio::io_context& network, Millis timeout,
    net::asio::awaitable<std::optional<T>> remote) {
  struct Pending {
    explicit Pending(const net::asio::steady_timer::executor_type& executor)
        : timer(executor) {}
    net::Timer timer;
    std::optional<T> answer;
  };
  const auto pending =
      std::make_shared<Pending>(co_await net::asio::this_coro::executor);
  pending->timer.ExpireAfter(timeout);
  net::asio::co_spawn(
      network,
      [](std::shared_ptr<Pending> caller,
         net::asio::awaitable<std::optional<T>> executed)
          -> net::asio::awaitable<void> {
        caller->answer = co_await std::move(executed);
        if (caller->answer) caller->timer.Cancel();
      }(pending, std::move(remote)),
      net::asio::detached);
  net::error_code ignored;
  co_await pending->timer.AsyncWait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  co_return pending->answer;
}

}  // namespace basilspur::sim

#endif  // TESTS_SIM_CALL_H_
