#ifndef BASILSPUR_NET_HTTP_SERVER_H_
#define BASILSPUR_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "net/asio.h"
#include "net/http_message.h"
#include "net/http_server_limits.h"
#include "net/refusal.h"

namespace basilspur::net {

class HttpShutdown;
class MemoryBudget;

/// Settings of an HTTP server.
struct HttpServerOptions {
  HttpServerLimits limits;
  /// Bounds what the connections of several servers hold together; may be null,
  /// otherwise outlives `context`.
  MemoryBudget* memory_budget = nullptr;
  /// Kept up to date by the server; may be null.
  RefusalCounts* refusals = nullptr;
  std::string name = "http";  ///< Of the listener, for the log.
  /// Ends this server and others; may be null, otherwise outlives `context`.
  HttpShutdown* shutdown = nullptr;
  /// Number of requests that are being answered, kept up to date by the server;
  /// may be null.
  int* active_requests = nullptr;
  /// If set, a request is not handled if its sender has closed the connection
  /// meanwhile, and its age is reported here. For senders that close when they
  /// stop waiting, and that never close only their sending side before.
  std::function<void(Millis age)> on_abandoned = {};
};

/// Answers one request.
using HttpHandler =
    std::function<asio::awaitable<HttpResponse>(HttpRequest request)>;

/// Serves requests within the limits on an address until its io_context stops.
/// A refusal says that the request was not handled.
/// Returns the port in use, or an error if the address can't be bound.
/// Thread safety: `handler` runs on the threads of `context`.
Result<std::uint16_t> ServeHttp(asio::io_context& context,
                                const std::string& address, HttpHandler handler,
                                HttpServerOptions options = {});

/// Opens a listening socket. Errors contain the address.
Result<asio::ip::tcp::acceptor> Listen(asio::io_context& context,
                                       const std::string& address);

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_HTTP_SERVER_H_
