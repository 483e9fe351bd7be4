#ifndef BASILSPUR_FRONT_LOCAL_REPLY_H_
#define BASILSPUR_FRONT_LOCAL_REPLY_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "front/beast.h"

namespace basilspur::front {

/// What is known about the run of a request that gets a local reply.
enum class RunOutcome {
  kNotRun,      ///< No target ran it.
  kMayHaveRun,  ///< It may have run, be running, or have run earlier.
  kRan,         ///< It ran; the answer is not available any more.
};

/// A final response that the front generates itself instead of relaying one
/// from a target.
struct LocalReply {
  http::status status = http::status::service_unavailable;
  RunOutcome outcome = RunOutcome::kNotRun;
  std::string reason;
  std::optional<Millis> retry_after;
};

/// The reply as an HTTP message, with the outcome and the retry time both
/// in headers and in a JSON body. Thread safety: any thread.
http::response<http::string_body> ToHttpResponse(const LocalReply& reply,
                                                 const std::string& request_id);

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_LOCAL_REPLY_H_
