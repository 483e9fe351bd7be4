#include "net/server_connection.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "net/connection_limiter.h"
#include "net/memory_budget.h"
#include "net/stream_timer.h"

namespace basilspur::net {

namespace beast = boost::beast;
namespace http = beast::http;

/// How long the server waits for the client to close after the last response.
static constexpr std::chrono::milliseconds kLingerTimeout(500);
/// In a shutdown, a new connection is left open this long for its first
/// request, which usually follows at once.
static constexpr std::chrono::milliseconds kFirstRequestDelay(100);
/// Read at once, unless the rest of a longer header is awaited.
static constexpr std::size_t kReadBytes = 4'096;

static std::chrono::milliseconds ToChrono(Millis duration) {
  return std::chrono::milliseconds(duration.count);
}

ServerConnection::ServerConnection(asio::ip::tcp::socket socket,
                                   HttpShutdown* shutdown, SharedBounds bounds)
    : ServerSocket(shutdown),
      bounds_(std::move(bounds)),
      stream_(std::move(socket)),
      // Together with the first byte behind the longest header.
      buffer_(bounds_.limits.max_header_bytes + kReadBytes) {
  bounds_.connections->Add(*this);
}

ServerConnection::~ServerConnection() {
  bounds_.connections->Remove(*this);
  if (bounds_.memory) bounds_.memory->Release(*this);
}

bool ServerConnection::Hold(std::size_t bytes) {
  if (evicted_for_) return false;
  return !bounds_.memory || bounds_.memory->Resize(*this, bytes);
}

asio::awaitable<error_code> ServerConnection::ReadFirstBytes() {
  error_code failure;
  stream_.expires_after(ToChrono(bounds_.limits.idle_timeout));
  const std::size_t read = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes),
      asio::redirect_error(asio::use_awaitable, failure));
  buffer_.commit(read);
  if (failure == asio::error::eof) failure = http::error::end_of_stream;
  co_return failure;
}

error_code ServerConnection::ParseBuffered(Parser& parser) {
  error_code failure;
  while (!failure && !parser.is_done() && buffer_.size() > 0)
    buffer_.consume(parser.put(buffer_.data(), failure));
  if (failure == http::error::need_more) failure = {};
  return failure;
}

asio::awaitable<error_code> ServerConnection::ReadRest(Parser& parser) {
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

bool ServerConnection::HoldRequest(const Parser& parser) {
  return Hold(buffer_.capacity() + parser.get().body().capacity());
}

asio::awaitable<error_code> ServerConnection::ReadRequest(Parser& parser) {
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

asio::awaitable<error_code> ServerConnection::Write(const Response& response) {
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

asio::awaitable<void> ServerConnection::CloseAfterResponse() {
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

std::optional<Refusal> ServerConnection::RefusalOf(const error_code& failure,
                                                   const Parser& parser) const {
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

void ServerConnection::WriteAtOnce(const Response& response) {
  std::ostringstream text;
  text << response;
  error_code ignored;
  stream_.socket().non_blocking(true, ignored);
  stream_.socket().write_some(asio::buffer(text.str()), ignored);
}

bool ServerConnection::HasInput() {
  error_code failure;
  return parser_->got_some() || buffer_.size() > 0 ||
         stream_.socket().available(failure) > 0;
}

void ServerConnection::CloseIfIdle() {
  if (!parser_ || HasInput()) return;
  const auto age = std::chrono::steady_clock::now() - opened_at_;
  if (!has_had_request_ && age < kFirstRequestDelay) return;
  stream_.cancel();
}

void ServerConnection::Evict(Refusal reason) {
  MarkEvicted();
  evicted_for_ = reason;
  stream_.cancel();
}

}  // namespace basilspur::net
