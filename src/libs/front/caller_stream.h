#ifndef BASILSPUR_FRONT_CALLER_STREAM_H_
#define BASILSPUR_FRONT_CALLER_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "front/beast.h"

namespace basilspur::front {

/// Limits on the size and duration of a caller's request.
struct CallerLimits {
  std::uint32_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  /// Maximum time from the first byte of a request to the end of its header.
  Millis header_timeout;
  /// Maximum time to wait for more bytes of the body.
  Millis body_idle_timeout;
};

/// A caller's connection, with the request that is being read from it. The
/// first part of the body is buffered, so that a small request can be sent to a
/// second target; the rest is streamed.
///
/// Thread safety: only the front's thread.
class CallerStream {
 public:
  CallerStream(asio::ip::tcp::socket socket, const CallerLimits& limits);

  /// Waits for the next request and reads its header. `idle_timeout` bounds the
  /// wait for its first byte.
  asio::awaitable<error_code> ReadHeader(Millis idle_timeout);

  /// Reads the body into BufferedBody(), up to the maximum size of the buffer.
  asio::awaitable<error_code> BufferBody();

  /// Reads the next part of the body into `chunk`, which is empty at the end of
  /// the body.
  asio::awaitable<error_code> ReadBodyChunk(std::string& chunk);

  /// Precondition: ReadHeader() succeeded.
  const http::request<http::buffer_body>& Header() const {
    return parser_->get();
  }

  const std::string& BufferedBody() const { return buffered_body_; }
  bool IsBodyComplete() const { return parser_->is_done(); }
  std::optional<std::uint64_t> ContentLength() const;

  /// True while no byte of the next request has been read.
  bool IsIdle() const { return idle_; }

  beast::tcp_stream& Stream() { return stream_; }

  /// Closes the connection. If `abort` is set, it is reset, so that the caller
  /// can't mistake a truncated response for a complete one.
  void Close(bool abort);

 private:
  asio::awaitable<error_code> ReadBodyInto(char* data, std::size_t size,
                                           std::size_t* bytes_read);

  beast::tcp_stream stream_;
  const CallerLimits limits_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::string buffered_body_;
  bool idle_ = true;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_CALLER_STREAM_H_
