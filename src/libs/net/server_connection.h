#ifndef BASILSPUR_NET_SERVER_CONNECTION_H_
#define BASILSPUR_NET_SERVER_CONNECTION_H_

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "net/asio.h"
#include "net/bounded_connection.h"
#include "net/http_server_limits.h"
#include "net/server_socket.h"

namespace basilspur::net {

class ConnectionLimiter;
class MemoryBudget;

/// What a connection of an HTTP server shares with others. The budget may be
/// null; it outlives the connections.
struct SharedBounds {
  HttpServerLimits limits;
  std::shared_ptr<ConnectionLimiter> connections;
  MemoryBudget* memory = nullptr;
};

/// A connection of an HTTP server, whose requests are read within bounds.
///
/// Thread safety: only from the thread of its io_context.
class ServerConnection final : public ServerSocket, public BoundedConnection {
 public:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  /// Precondition: the limiter has room.
  ServerConnection(asio::ip::tcp::socket socket, HttpShutdown* shutdown,
                   SharedBounds bounds);
  ~ServerConnection() override;

  boost::beast::tcp_stream& Stream() { return stream_; }

  /// Reads the next request. What was read counts against the memory budget
  /// until Write or the end. Fails with operation_aborted if the connection is
  /// idle and the server shuts down, or if it was evicted.
  asio::awaitable<error_code> ReadRequest(Parser& parser);
  /// Writes a response, which counts instead of its request.
  asio::awaitable<error_code> Write(const Response& response);
  /// After the last response: waits until the client has closed. Unread input
  /// when a socket is closed would reset the connection, and what the client
  /// has not received of the response would be lost.
  asio::awaitable<void> CloseAfterResponse();

  /// Why the request is refused that ReadRequest has failed for; empty: there
  /// is nothing to answer.
  std::optional<Refusal> RefusalOf(const error_code& failure,
                                   const Parser& parser) const;
  /// Set once the connection is to be ended for others.
  std::optional<Refusal> EvictedFor() const { return evicted_for_; }
  /// Sends what fits into the socket's buffer. For an evicted connection.
  void WriteAtOnce(const Response& response);

  /// Ends a wait for a request. If a read has completed meanwhile, its data is
  /// processed.
  void CloseIfIdle() override;
  void Evict(Refusal reason) override;

 private:
  /// Whether a part of the next request has arrived.
  bool HasInput();
  /// Waits for the first byte of the next request.
  asio::awaitable<error_code> ReadFirstBytes();
  /// Parses what was read already.
  error_code ParseBuffered(Parser& parser);
  /// Reads and parses the rest of a request.
  asio::awaitable<error_code> ReadRest(Parser& parser);
  /// Counts what the connection holds against the budget. Returns whether there
  /// is room.
  bool Hold(std::size_t bytes);
  /// The same for a request, as far as it was read.
  bool HoldRequest(const Parser& parser);

  SharedBounds bounds_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  Parser* parser_ = nullptr;  ///< Set while a request is awaited.
  bool has_had_request_ = false;
  std::optional<Refusal> evicted_for_;
  const std::chrono::steady_clock::time_point opened_at_ =
      std::chrono::steady_clock::now();
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_SERVER_CONNECTION_H_
