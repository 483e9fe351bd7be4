#ifndef BASILSPUR_FRONT_ATTEMPT_OPTIONS_H_
#define BASILSPUR_FRONT_ATTEMPT_OPTIONS_H_

#include <functional>
#include <string>

#include "base/clock.h"

namespace basilspur::front {

/// Limits and parameters of one attempt to run a request on a target.
struct AttemptOptions {
  std::string target;
  Millis deadline;
  /// Connections that have been idle for longer are not reused.
  Millis max_idle_time;
  std::string request_id;
  /// If no response has begun after this time, the attempt is abandoned in
  /// favour of another one, provided that `may_abandon` returns true. 0
  /// disables the time-out.
  Millis attempt_timeout;
  std::function<bool()> may_abandon;
  /// Adds `Connection: close` to the response to the caller.
  bool close_caller = false;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_ATTEMPT_OPTIONS_H_
