#ifndef BASILSPUR_LEASE_PAUSE_DETECTOR_H_
#define BASILSPUR_LEASE_PAUSE_DETECTOR_H_

#include <optional>

#include "base/clock.h"

namespace basilspur::lease {

/// Detects that the process was paused, from gaps between its steps on the
/// monotonic clock and on the wall clock. The wall clock is needed because it
/// keeps running while the machine is suspended.
///
/// Pure logic. Thread safety: one thread at a time.
class PauseDetector {
 public:
  explicit PauseDetector(Millis threshold) : threshold_(threshold) {}

  /// Compares both clocks with those of the previous step. Has to be called at
  /// intervals well below the threshold.
  void Step(Millis monotonic, Millis wall);

  /// True if the log has been read to its end since the last pause.
  /// `fresh_as_of` is the start time of the latest such read, on the monotonic
  /// clock.
  bool IsFresh(Millis fresh_as_of) const;

 private:
  const Millis threshold_;
  std::optional<Millis> last_monotonic_;
  Millis last_wall_;
  std::optional<Millis> last_resume_;
};

}  // namespace basilspur::lease

#endif  // BASILSPUR_LEASE_PAUSE_DETECTOR_H_
