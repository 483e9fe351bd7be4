#include "front/caller_stream.h"

#include <chrono>
#include <utility>

#include "net/stream_timer.h"

namespace basilspur::front {

static constexpr std::size_t kMaxBufferedBodyBytes = 64 * 1024;
static constexpr std::size_t kChunkBytes = 64 * 1024;
static constexpr std::size_t kReadAheadBytes = 64 * 1024;

/// The error of an operation, or a time-out error if the timer cancelled it.
static error_code TimeoutOr(const net::StreamTimer& timer, error_code failure) {
  if (!timer.HasCancelled()) return failure;
  return make_error_code(beast::error::timeout);
}

CallerStream::CallerStream(asio::ip::tcp::socket socket,
                           const CallerLimits& limits)
    : stream_(std::move(socket)), limits_(limits), buffer_(kReadAheadBytes) {}

asio::awaitable<error_code> CallerStream::ReadHeader(Millis idle_timeout) {
  parser_.emplace();
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
  buffered_body_.clear();
  error_code failure;
  if (buffer_.size() == 0) {
    idle_ = true;
    stream_.expires_after(std::chrono::milliseconds(idle_timeout.count));
    const std::size_t bytes_read = co_await stream_.async_read_some(
        buffer_.prepare(kReadAheadBytes / 4), RedirectError(failure));
    if (failure) co_return failure;
    buffer_.commit(bytes_read);
  }
  idle_ = false;
  {
    stream_.expires_never();
    const net::StreamTimer timer(stream_, limits_.header_timeout);
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     RedirectError(failure));
    failure = TimeoutOr(timer, failure);
  }
  if (failure) co_return failure;
  if (parser_->get()[http::field::expect] != "100-continue") co_return failure;
  http::response<http::empty_body> continue_response(http::status::continue_,
                                                     11);
  co_await http::async_write(stream_, continue_response,
                             RedirectError(failure));
  co_return failure;
}

asio::awaitable<error_code> CallerStream::ReadBodyInto(
    char* data, std::size_t size, std::size_t* bytes_read) {
  auto& body = parser_->get().body();
  body.data = data;
  body.size = size;
  error_code failure;
  stream_.expires_never();
  const net::StreamTimer timer(stream_, limits_.body_idle_timeout);
  co_await http::async_read_some(stream_, buffer_, *parser_,
                                 RedirectError(failure));
  if (failure == http::error::need_buffer) failure = {};
  failure = TimeoutOr(timer, failure);
  *bytes_read = size - body.size;
  co_return failure;
}

asio::awaitable<error_code> CallerStream::BufferBody() {
  while (!parser_->is_done() && buffered_body_.size() < kMaxBufferedBodyBytes) {
    const std::size_t old_size = buffered_body_.size();
    const std::size_t max_bytes = kMaxBufferedBodyBytes - old_size;
    buffered_body_.resize(old_size + max_bytes);
    std::size_t bytes_read = 0;
    const error_code failure = co_await ReadBodyInto(
        buffered_body_.data() + old_size, max_bytes, &bytes_read);
    buffered_body_.resize(old_size + bytes_read);
    if (failure) co_return failure;
  }
  co_return error_code();
}

asio::awaitable<error_code> CallerStream::ReadBodyChunk(std::string& chunk) {
  chunk.resize(kChunkBytes);
  std::size_t bytes_read = 0;
  error_code failure;
  while (bytes_read == 0 && !parser_->is_done() && !failure) {
    failure = co_await ReadBodyInto(chunk.data(), chunk.size(), &bytes_read);
  }
  chunk.resize(bytes_read);
  co_return failure;
}

std::optional<std::uint64_t> CallerStream::ContentLength() const {
  const auto length = parser_->content_length();
  if (!length) return std::nullopt;
  return *length;
}

void CallerStream::Close(bool abort) {
  error_code ignored;
  auto& socket = stream_.socket();
  if (abort) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  } else {
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  stream_.close();
}

}  // namespace basilspur::front
