#ifndef BASILSPUR_ROUTING_TARGET_HEALTH_H_
#define BASILSPUR_ROUTING_TARGET_HEALTH_H_

#include <cstdint>

#include "base/clock.h"

namespace basilspur::routing {

/// The outcome of one attempt to run a request on a target.
enum class AttemptOutcome {
  kAnswered,
  kRefused,       ///< The target reported that it did not run the request.
  kNotConnected,  ///< No connection could be established.
  kBroken,        ///< The connection broke, or the answer was malformed.
  kSilent,        ///< The attempt timed out without an answer.
};

/// Decides from the outcomes of attempts whether a target may get requests. A
/// single time-out or broken connection may be a fault of that connection
/// alone, so the target is ejected only after the second in a row. A failure to
/// connect or a refusal ejects it at once. When its ejection time has passed,
/// it is probed with one request.
///
/// Pure logic. Thread safety: one thread at a time.
class TargetHealth {
 public:
  /// Records the outcome of an attempt. `latency` is used only if it was
  /// answered.
  void Record(AttemptOutcome outcome, Millis latency, Millis now);

  /// Whether the target may get another request while it has `in_flight` of
  /// them.
  bool Accepts(Millis now, std::int64_t in_flight) const;

  /// Moving average of the answer latency in milliseconds; 0 before the first
  /// answer.
  double AverageLatency() const { return average_latency_; }

  bool IsEjected(Millis now) const { return now < ejected_until_; }

 private:
  void Eject(Millis now);

  std::int64_t consecutive_failures_ = 0;
  std::int64_t consecutive_ejections_ = 0;
  Millis ejected_until_;
  double average_latency_ = 0;
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_TARGET_HEALTH_H_
