#ifndef BASILSPUR_NET_ASIO_H_
#define BASILSPUR_NET_ASIO_H_

// <utility> has to come first: awaitable.hpp of Boost 1.74 uses it without
// including it.
// clang-format off
#include <utility>
// clang-format on
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"

namespace basilspur::net {

namespace asio = boost::asio;
using boost::system::error_code;

/// Suspends the calling coroutine for `duration`. Thread safety: as its
/// io_context.
asio::awaitable<void> Sleep(Millis duration);

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_ASIO_H_
