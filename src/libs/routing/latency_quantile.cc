#include "routing/latency_quantile.h"

#include <algorithm>
#include <cmath>

namespace basilspur::routing {

static constexpr double kQuantile = 0.99;
/// Step size as a fraction of the current estimate.
static constexpr double kRelativeStep = 0.2;
static constexpr std::int64_t kMinSamples = 100;

void LatencyQuantile::Observe(Millis latency) {
  const double sample = std::max(static_cast<double>(latency.count), 1.0);
  ++count_;
  if (count_ == 1) estimate_ = sample;
  // The steps are weighted so that upward and downward steps cancel out when
  // the estimate equals the quantile.
  const bool is_above = sample > estimate_;
  estimate_ *= is_above ? 1 + kRelativeStep * kQuantile
                        : 1 - kRelativeStep * (1 - kQuantile);
}

Millis LatencyQuantile::Estimate() const {
  if (count_ < kMinSamples) return {};
  return Millis(std::llround(estimate_));
}

}  // namespace basilspur::routing
