#ifndef BASILSPUR_FRONT_BEAST_H_
#define BASILSPUR_FRONT_BEAST_H_

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/asio.h"

namespace basilspur::front {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using net::error_code;

/// A completion token for coroutines that stores errors in `failure` instead of
/// throwing them.
inline auto RedirectError(error_code& failure) {
  return asio::redirect_error(asio::use_awaitable, failure);
}

/// The time until `deadline`, as a duration for Beast's timers; at least 1 ms.
inline std::chrono::milliseconds RemainingTime(Millis deadline, Millis now) {
  const Millis remaining = deadline - now;
  return std::chrono::milliseconds(remaining.count > 1 ? remaining.count : 1);
}

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_BEAST_H_
