#ifndef BASILSPUR_NET_REFUSAL_H_
#define BASILSPUR_NET_REFUSAL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace basilspur::net {

/// Why a server refuses a request before it is handled, or ends a connection.
enum class Refusal {
  kMalformed,        ///< Status 400.
  kHeaderTooLarge,   ///< 431.
  kBodyTooLarge,     ///< 413.
  kRequestTimeout,   ///< 408: the request did not arrive in time.
  kMemory,           ///< 503: see MemoryBudget.
  kConnections,      ///< 503, or closed: see ConnectionLimiter.
  kResponseTimeout,  ///< Closed: the response was not read in time.
};
inline constexpr std::size_t kRefusalCount = 7;

/// Names as used in logs and metrics, by the value of Refusal.
inline constexpr std::array<std::string_view, kRefusalCount> kRefusalNames = {
    "malformed", "header_too_large", "body_too_large",  "request_timeout",
    "memory",    "connections",      "response_timeout"};

/// Numbers of refusals, by the value of Refusal.
using RefusalCounts = std::array<std::int64_t, kRefusalCount>;

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_REFUSAL_H_
