#include "net/asio.h"

#include "net/timer.h"

namespace basilspur::net {

asio::awaitable<void> Sleep(Millis duration) {
  Timer timer(co_await asio::this_coro::executor);
  timer.ExpireAfter(duration);
  error_code ignored;
  co_await timer.AsyncWait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace basilspur::net
