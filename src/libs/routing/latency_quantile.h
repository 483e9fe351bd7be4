#ifndef BASILSPUR_ROUTING_LATENCY_QUANTILE_H_
#define BASILSPUR_ROUTING_LATENCY_QUANTILE_H_

#include <cstdint>

#include "base/clock.h"

namespace basilspur::routing {

/// Estimates the 99th percentile of a stream of latencies in constant memory,
/// by stochastic approximation: each sample moves the estimate by a fraction of
/// the estimate.
///
/// Thread safety: one thread at a time.
class LatencyQuantile {
 public:
  void Observe(Millis latency);

  /// The estimate; 0 until enough samples have been observed.
  Millis Estimate() const;

 private:
  std::int64_t count_ = 0;
  double estimate_ = 0;
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_LATENCY_QUANTILE_H_
