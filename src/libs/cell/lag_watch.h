#ifndef BASILSPUR_CELL_LAG_WATCH_H_
#define BASILSPUR_CELL_LAG_WATCH_H_

#include "base/clock.h"

namespace basilspur::cell {

struct LagSettings {
  Millis limit{60};     ///< By which a tick may come late on average.
  double gain = 0.05;   ///< Of each tick in the average.
  Millis rest{20'000};  ///< After a yield, before the next.
};

/// Tells from how late ticks come whether a node has more to do than its
/// processor can. It answers cells that fall to slow machines while the fast
/// ones are away: their owners get minutes behind in what they read.
///
/// Thread safety: one thread at a time.
class LagWatch {
 public:
  explicit LagWatch(LagSettings settings) : settings_(settings) {}

  /// A tick that was to come after `interval` came after `took`. Returns true
  /// if the node should give work away now.
  bool OnTick(Millis interval, Millis took, Millis now);

 private:
  LagSettings settings_;
  double late_ms_ = 0;
  Millis rests_until_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_LAG_WATCH_H_
