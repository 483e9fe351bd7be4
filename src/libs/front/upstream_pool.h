#ifndef BASILSPUR_FRONT_UPSTREAM_POOL_H_
#define BASILSPUR_FRONT_UPSTREAM_POOL_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "front/beast.h"

namespace basilspur::front {

/// A connection to a target, with the bytes that were read ahead from it.
struct UpstreamConnection {
  explicit UpstreamConnection(asio::io_context& context) : stream(context) {}

  beast::tcp_stream stream;
  /// Bounds trailers and chunk extensions, which are kept until they end.
  beast::flat_buffer buffer{128 * 1024};
  Millis idle_since;
};

using UpstreamPtr = std::unique_ptr<UpstreamConnection>;

/// A pool of idle connections to targets.
///
/// Thread safety: only the front's thread.
class UpstreamPool {
 public:
  /// Precondition: `context` and `clock` outlive the pool.
  UpstreamPool(asio::io_context& context, const Clock& clock);

  /// Removes and returns an idle connection that was in use at most
  /// `max_idle_time` ms ago and that the target has not closed; null if there
  /// is none.
  UpstreamPtr TakeIdle(const std::string& address, Millis max_idle_time);

  /// Opens a new connection. Errors: kInvalid, kUnavailable.
  asio::awaitable<Result<UpstreamPtr>> Connect(std::string address,
                                               Millis timeout);

  /// Adds a connection whose last response was read completely. It is closed if
  /// the pool already holds the maximum number of connections to the target.
  void PutIdle(const std::string& address, UpstreamPtr connection);

  /// Closes the idle connections to a target.
  void CloseIdle(const std::string& address);

  /// Closes the connections that have exceeded the maximum idle time.
  void Sweep();

 private:
  asio::io_context& context_;
  const Clock& clock_;
  std::map<std::string, std::deque<UpstreamPtr>> idle_;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_UPSTREAM_POOL_H_
