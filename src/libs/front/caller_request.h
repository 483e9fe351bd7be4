#ifndef BASILSPUR_FRONT_CALLER_REQUEST_H_
#define BASILSPUR_FRONT_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "front/beast.h"

namespace basilspur::front {

/// The parameters of a request that the caller sets in its headers. The headers
/// are described in docs/CALLERS.md.
struct CallerRequest {
  std::string id;       ///< X-Request-Id; empty if the caller set none.
  std::string service;  ///< The host name in Host, without the port.
  std::string tenant;   ///< Basilspur-Tenant.
  int urgency = 0;      ///< Urgency in Priority, as in RFC 9218.
  bool idempotent = false;
  std::string idempotency_key;  ///< Idempotency-Key; empty if it is not set.
  /// Basilspur-Attempt is 1. A request without this header counts as a resend.
  bool first_send = false;
  /// Basilspur-Age-Ms: the time since the caller first sent the request.
  /// RequestHistory::kRetention if the header is missing.
  Millis age;
  std::optional<Millis> timeout;  ///< Basilspur-Timeout-Ms.
};

/// Parses the headers. Errors name the malformed header.
/// Thread safety: any thread.
Result<CallerRequest> ParseCallerRequest(
    const http::request_header<http::fields>& header);

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_CALLER_REQUEST_H_
