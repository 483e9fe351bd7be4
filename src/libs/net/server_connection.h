#ifndef BASILSPUR_NET_SERVER_CONNECTION_H_
#define BASILSPUR_NET_SERVER_CONNECTION_H_

#include <algorithm>
#include <array>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <sstream>
#include <utility>

#include "net/asio.h"
#include "net/bounded_connection.h"
#include "net/connection_limiter.h"
#include "net/http_server_limits.h"
#include "net/memory_budget.h"
#include "net/server_socket.h"
#include "net/stream_timer.h"

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

namespace beast = boost::beast;
namespace http = beast::http;

/// How long the server waits for the client to close after the last response.
inline constexpr std::chrono::milliseconds kLingerTimeout(500);
/// In a shutdown, a new connection is left open this long for its first
/// request, which usually follows at once.
inline constexpr std::chrono::milliseconds kFirstRequestDelay(100);
/// Read at once, unless the rest of a longer header is awaited.
inline constexpr std::size_t kReadBytes = 4'096;

inline std::chrono::milliseconds ToChrono(Millis duration) {
  return std::chrono::milliseconds(duration.count);
}

inline ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                          HttpShutdown* shutdown,
                                          SharedBounds bounds)
    : ServerSocket(shutdown),
      bounds_(std::move(bounds)),
      stream_(std::move(socket)),
      // Together with the first byte behind the longest header.
      buffer_(bounds_.limits.max_header_bytes + kReadBytes) {
  bounds_.connections->Add(*this);
}

inline ServerConnection::~ServerConnection() {
  bounds_.connections->Remove(*this);
  if (bounds_.memory) bounds_.memory->Release(*this);
}

inline bool ServerConnection::Hold(std::size_t bytes) {
  if (evicted_for_) return false;
  return !bounds_.memory || bounds_.memory->Resize(*this, bytes);
}

inline asio::awaitable<error_code> ServerConnection::ReadFirstBytes() {
  error_code failure;
  stream_.expires_after(ToChrono(bounds_.limits.idle_timeout));
  const std::size_t read = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, failure));
  buffer_.commit(read);
  if (failure == asio::error::eof) failure = http::error::end_of_stream;
  co_return failure;
}

inline error_code ServerConnection::ParseBuffered(Parser& parser) {
  error_code failure;
  while (!failure && !parser.is_done() && buffer_.size() > 0)
    buffer_.consume(parser.put(buffer_.data(), failure));
  if (failure == http::error::need_more) failure = {};
  return failure;
}

inline asio::awaitable<error_code> ServerConnection::ReadRest(Parser& parser) {
  stream_.expires_never();
  const StreamTimer timer(stream_, bounds_.limits.request_timeout);
  error_code failure;
  while (!failure && !parser.is_done()) {
    co_await http::async_read_some(
        stream_, buffer_, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (evicted_for_) co_return asio::error::operation_aborted;
    if (timer.HasCancelled()) co_return make_error_code(beast::error::timeout);
    // A shutdown interrupts no request of which a part has arrived.
    if (failure == asio::error::operation_aborted) failure = {};
    if (!failure && !HoldRequest(parser))
      failure = asio::error::operation_aborted;
  }
  co_return failure;
}

inline bool ServerConnection::HoldRequest(const Parser& parser) {
  return Hold(buffer_.capacity() + parser.get().body().capacity());
}

inline asio::awaitable<error_code> ServerConnection::ReadRequest(
    Parser& parser) {
  parser.header_limit(bounds_.limits.max_header_bytes);
  parser.body_limit(bounds_.limits.max_body_bytes);
  const bool awaits_next = has_had_request_ && buffer_.size() == 0;
  Enter(awaits_next ? ConnectionPhase::kWaiting : ConnectionPhase::kReading);
  parser_ = &parser;
  error_code failure;
  // A connection may be evicted before its first read.
  while (!failure && !evicted_for_ && buffer_.size() == 0) {
    failure = co_await ReadFirstBytes();
    const bool interrupted = failure == asio::error::operation_aborted &&
                             !evicted_for_ && HasInput();
    if (interrupted) failure = {};
  }
  if (!failure && !evicted_for_) {
    Enter(ConnectionPhase::kReading);
    failure = ParseBuffered(parser);
  }
  if (!failure && !HoldRequest(parser))
    failure = asio::error::operation_aborted;
  if (!failure) failure = co_await ReadRest(parser);
  if (evicted_for_) failure = asio::error::operation_aborted;
  parser_ = nullptr;
  has_had_request_ = true;
  if (!failure) Enter(ConnectionPhase::kHandling);
  co_return failure;
}

inline asio::awaitable<error_code> ServerConnection::Write(
    const Response& response) {
  // A response to a handled request is sent whatever others hold.
  Hold(buffer_.capacity() + response.body().size());
  Enter(ConnectionPhase::kWriting);
  error_code failure;
  stream_.expires_after(ToChrono(bounds_.limits.response_timeout));
  co_await http::async_write(
      stream_, response, asio::redirect_error(asio::use_awaitable, failure));
  if (evicted_for_) failure = asio::error::operation_aborted;
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
  Hold(buffer_.capacity());
  co_return failure;
}

inline asio::awaitable<void> ServerConnection::CloseAfterResponse() {
  Enter(ConnectionPhase::kClosing);
  error_code failure;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  stream_.expires_after(kLingerTimeout);
  std::array<char, 4'096> discarded;
  while (!failure) {
    co_await stream_.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, failure));
  }
}

inline std::optional<Refusal> ServerConnection::RefusalOf(
    const error_code& failure, const Parser& parser) const {
  if (evicted_for_) return evicted_for_;
  if (failure == asio::error::operation_aborted && HeldBytes() > 0)
    return Refusal::kMemory;
  if (failure == http::error::body_limit) return Refusal::kBodyTooLarge;
  const bool overflow = failure == http::error::buffer_overflow;
  if (failure == http::error::header_limit ||
      (overflow && !parser.is_header_done()))
    return Refusal::kHeaderTooLarge;
  const bool has_begun = parser.got_some() || buffer_.size() > 0;
  if (failure == beast::error::timeout) {
    return has_begun ? std::optional(Refusal::kRequestTimeout) : std::nullopt;
  }
  // The error lies in the bytes that the client sent, not in the connection.
  const bool malformed =
      failure.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      failure != http::error::end_of_stream &&
      failure != http::error::partial_message;
  return malformed ? std::optional(Refusal::kMalformed) : std::nullopt;
}

inline void ServerConnection::WriteAtOnce(const Response& response) {
  std::ostringstream text;
  text << response;
  error_code ignored;
  stream_.socket().non_blocking(true, ignored);
  stream_.socket().write_some(asio::buffer(text.str()), ignored);
}

inline bool ServerConnection::HasInput() {
  error_code failure;
  return parser_->got_some() || buffer_.size() > 0 ||
         stream_.socket().available(failure) > 0;
}

inline void ServerConnection::CloseIfIdle() {
  if (!parser_ || HasInput()) return;
  const auto age = std::chrono::steady_clock::now() - opened_at_;
  if (!has_had_request_ && age < kFirstRequestDelay) return;
  stream_.cancel();
}

inline void ServerConnection::Evict(Refusal reason) {
  MarkEvicted();
  evicted_for_ = reason;
  stream_.cancel();
}

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_SERVER_CONNECTION_H_
