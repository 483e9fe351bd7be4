#ifndef BASILSPUR_FRONT_ATTEMPT_RESULT_H_
#define BASILSPUR_FRONT_ATTEMPT_RESULT_H_

#include <string>

#include "routing/target_health.h"

namespace basilspur::front {

/// The result of one attempt to run a request on a target.
struct AttemptResult {
  routing::AttemptOutcome outcome = routing::AttemptOutcome::kNotConnected;
  /// Some bytes of the request may have reached the target.
  bool possibly_sent = false;
  /// Some bytes of a response may have been sent to the caller.
  bool response_started = false;
  /// The caller's connection broke, or its request body could not be read to
  /// the end.
  bool caller_failed = false;
  /// Part of the request body was streamed and can't be sent to another target.
  bool body_consumed = false;
  /// The caller's connection can be used for another request.
  bool keep_caller_connection = false;
  /// Ended by the attempt time-out, before the deadline of the request.
  bool abandoned = false;
  /// The cause of a failure, for logs and local replies.
  std::string detail;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_ATTEMPT_RESULT_H_
