#ifndef BASILSPUR_FRONT_CALLER_STREAM_H_
#define BASILSPUR_FRONT_CALLER_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "front/beast.h"

namespace basilspur::front {

/// Bounds on what a caller may send. Sizes in bytes.
struct CallerLimits {
  std::uint32_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  Millis header_timeout;
  Millis body_idle_timeout;
};

/// A caller's connection, with the request that is being read from it. The
/// first part of the body is held, so that a small request can be sent again;
/// the rest is streamed.
///
/// Thread safety: only the front's thread.
class CallerStream {
 public:
  CallerStream(asio::ip::tcp::socket socket, const CallerLimits& limits);

  /// Waits for the next request and reads its header. `idle_limit` bounds the
  /// wait for its first byte.
  asio::awaitable<error_code> ReadHeader(Millis idle_limit);

  /// Reads the body up to the held part's bound.
  asio::awaitable<error_code> ReadHeldBody();

  /// Reads some more of the body into `chunk`. Empty at the body's end.
  asio::awaitable<error_code> ReadMore(std::string& chunk);

  /// Precondition: ReadHeader() succeeded.
  const http::request<http::buffer_body>& Header() const {
    return parser_->get();
  }

  const std::string& HeldBody() const { return held_; }
  bool BodyIsWhole() const { return parser_->is_done(); }
  std::optional<std::uint64_t> DeclaredLength() const;

  /// True while no byte of a next request has been read.
  bool IsIdle() const { return idle_; }

  beast::tcp_stream& Stream() { return stream_; }

  /// Ends the connection. `abort`: with a reset, so that a cut answer can't
  /// be taken for a whole one.
  void Close(bool abort);

 private:
  asio::awaitable<error_code> ReadInto(char* data, std::size_t size,
                                       std::size_t* got);

  beast::tcp_stream stream_;
  const CallerLimits limits_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::string held_;
  bool idle_ = true;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_CALLER_STREAM_H_
