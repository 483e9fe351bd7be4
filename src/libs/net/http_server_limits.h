#ifndef BASILSPUR_NET_HTTP_SERVER_LIMITS_H_
#define BASILSPUR_NET_HTTP_SERVER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace basilspur::net {

/// Bounds of what one client of an HTTP server may send and how long it may
/// take. The start line, the headers, the header of a chunk with its extension
/// and the trailers are bounded by `max_header_bytes` each.
///
/// Thread safety: a plain value.
struct HttpServerLimits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 4ULL << 20;
  std::size_t max_connections = 1'024;
  /// Without a byte of the next request.
  Millis idle_timeout{60'000};
  /// From the first byte of a request to its last one.
  Millis request_timeout{10'000};
  /// Until the client has taken a response.
  Millis response_timeout{15'000};
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_HTTP_SERVER_LIMITS_H_
