#ifndef BASILSPUR_INTERFERENCE_PRESSURE_LIMITS_H_
#define BASILSPUR_INTERFERENCE_PRESSURE_LIMITS_H_

#include "base/clock.h"

namespace basilspur::interference {

/// Slowdowns of the services on a VM at which runs are throttled, released and
/// evicted. The gap between `throttle_above` and `release_below` and the hold
/// times prevent oscillation.
struct PressureLimits {
  double throttle_above = 0;  ///< Runs are throttled above this slowdown.
  double release_below = 0;   ///< Runs are released below this slowdown.
  /// Above this slowdown a run is evicted, unless others can still be
  /// throttled.
  double evict_above = 0;
  Millis
      release_hold;   ///< Time below `release_below` before a run is released.
  Millis evict_hold;  ///< Time above `evict_above` before a run is evicted.
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_PRESSURE_LIMITS_H_
