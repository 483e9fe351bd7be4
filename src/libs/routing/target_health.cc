#include "routing/target_health.h"

#include <algorithm>

namespace basilspur::routing {

/// Weight of a new sample in the moving average of the latency.
static constexpr double kLatencyWeight = 0.1;
static constexpr std::int64_t kConsecutiveFailuresToEject = 2;
static constexpr Millis kBaseEjectionTime(500);
static constexpr std::int64_t kMaxEjectionDoublings = 5;

void TargetHealth::Record(AttemptOutcome outcome, Millis latency, Millis now) {
  if (outcome == AttemptOutcome::kAnswered) {
    consecutive_failures_ = 0;
    consecutive_ejections_ = 0;
    const auto sample = static_cast<double>(latency.count);
    average_latency_ =
        average_latency_ == 0
            ? sample
            : average_latency_ * (1 - kLatencyWeight) + sample * kLatencyWeight;
    return;
  }
  ++consecutive_failures_;
  const bool is_definite = outcome == AttemptOutcome::kNotConnected ||
                           outcome == AttemptOutcome::kRefused;
  // A failed probe ejects the target again without waiting for a second
  // failure.
  if (is_definite || consecutive_ejections_ > 0 ||
      consecutive_failures_ >= kConsecutiveFailuresToEject) {
    Eject(now);
  }
}

void TargetHealth::Eject(Millis now) {
  if (IsEjected(now)) return;
  const std::int64_t doublings =
      std::min(consecutive_ejections_, kMaxEjectionDoublings);
  ejected_until_ = now + kBaseEjectionTime * (1LL << doublings);
  ++consecutive_ejections_;
}

bool TargetHealth::Accepts(Millis now, std::int64_t in_flight) const {
  if (IsEjected(now)) return false;
  const bool is_probing = consecutive_ejections_ > 0;
  return !is_probing || in_flight == 0;
}

}  // namespace basilspur::routing
