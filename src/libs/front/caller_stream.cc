#include "front/caller_stream.h"

#include <chrono>
#include <utility>

#include "front/stream_timer.h"

namespace basilspur::front {

static constexpr std::size_t kHeldBodyBytes = 64 * 1024;
static constexpr std::size_t kChunkBytes = 64 * 1024;
static constexpr std::size_t kReadAheadBytes = 64 * 1024;

/// The error of an operation, or the time-out that ended it.
static error_code Explain(const StreamTimer& timer, error_code failure) {
  if (!timer.HasCancelled()) return failure;
  return make_error_code(beast::error::timeout);
}

CallerStream::CallerStream(asio::ip::tcp::socket socket,
                           const CallerLimits& limits)
    : stream_(std::move(socket)), limits_(limits), buffer_(kReadAheadBytes) {}

asio::awaitable<error_code> CallerStream::ReadHeader(Millis idle_limit) {
  parser_.emplace();
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
  held_.clear();
  error_code failure;
  if (buffer_.size() == 0) {
    idle_ = true;
    stream_.expires_after(std::chrono::milliseconds(idle_limit.count));
    const std::size_t got = co_await stream_.async_read_some(
        buffer_.prepare(kReadAheadBytes / 4), WithError(failure));
    if (failure) co_return failure;
    buffer_.commit(got);
  }
  idle_ = false;
  {
    stream_.expires_never();
    const StreamTimer limit(stream_, limits_.header_timeout);
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     WithError(failure));
    failure = Explain(limit, failure);
  }
  if (failure) co_return failure;
  if (parser_->get()[http::field::expect] != "100-continue") co_return failure;
  http::response<http::empty_body> go_on(http::status::continue_, 11);
  co_await http::async_write(stream_, go_on, WithError(failure));
  co_return failure;
}

asio::awaitable<error_code> CallerStream::ReadInto(char* data, std::size_t size,
                                                   std::size_t* got) {
  auto& body = parser_->get().body();
  body.data = data;
  body.size = size;
  error_code failure;
  stream_.expires_never();
  const StreamTimer limit(stream_, limits_.body_idle_timeout);
  co_await http::async_read_some(stream_, buffer_, *parser_,
                                 WithError(failure));
  if (failure == http::error::need_buffer) failure = {};
  failure = Explain(limit, failure);
  *got = size - body.size;
  co_return failure;
}

asio::awaitable<error_code> CallerStream::ReadHeldBody() {
  while (!parser_->is_done() && held_.size() < kHeldBodyBytes) {
    const std::size_t old_size = held_.size();
    const std::size_t room = kHeldBodyBytes - old_size;
    held_.resize(old_size + room);
    std::size_t got = 0;
    const error_code failure =
        co_await ReadInto(held_.data() + old_size, room, &got);
    held_.resize(old_size + got);
    if (failure) co_return failure;
  }
  co_return error_code();
}

asio::awaitable<error_code> CallerStream::ReadMore(std::string& chunk) {
  chunk.resize(kChunkBytes);
  std::size_t got = 0;
  error_code failure;
  while (got == 0 && !parser_->is_done() && !failure) {
    failure = co_await ReadInto(chunk.data(), chunk.size(), &got);
  }
  chunk.resize(got);
  co_return failure;
}

std::optional<std::uint64_t> CallerStream::DeclaredLength() const {
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
