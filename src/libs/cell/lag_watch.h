#ifndef BASILSPUR_CELL_LAG_WATCH_H_
#define BASILSPUR_CELL_LAG_WATCH_H_

#include "base/clock.h"

namespace basilspur::cell {

struct LagSettings {
  /// Average delay of ticks above which the node is overloaded.
  Millis max_average_lag{60};
  /// Weight of each tick in the moving average.
  double smoothing_factor = 0.05;
  /// Shortest time between two requests to yield work.
  Millis cooldown{20'000};
};

/// Detects from the delay of ticks that a node has more work than its processor
/// can do. Without it, cells that slow machines take over while the fast ones
/// are down would stay there, and their owners fall minutes behind in reading.
///
/// Thread safety: one thread at a time.
class LagWatch {
 public:
  explicit LagWatch(LagSettings settings) : settings_(settings) {}

  /// Records a tick that was due after `interval` and came after `took`.
  /// Returns whether the node should yield work now.
  bool OnTick(Millis interval, Millis took, Millis now);

 private:
  LagSettings settings_;
  double average_lag_ms_ = 0;
  Millis cooldown_until_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_LAG_WATCH_H_
