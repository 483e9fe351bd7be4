#ifndef BASILSPUR_INTERFERENCE_EVICTION_BUDGET_H_
#define BASILSPUR_INTERFERENCE_EVICTION_BUDGET_H_

#include "base/clock.h"

namespace basilspur::interference {

/// Limits the rate of an entry's evictions with a token bucket. The bucket
/// holds the evictions of one minute, but at least one.
///
/// Thread safety: one thread at a time.
class EvictionBudget {
 public:
  explicit EvictionBudget(double per_minute);

  /// Takes a token for one eviction. Returns false if none is left.
  /// Precondition: `now` does not decrease between calls.
  bool TryTake(Millis now);

 private:
  const double per_minute_;
  const double capacity_;
  double tokens_;
  Millis last_refill_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_EVICTION_BUDGET_H_
