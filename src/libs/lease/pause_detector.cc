#include "lease/pause_detector.h"

namespace basilspur::lease {

void PauseDetector::Step(Millis monotonic, Millis wall) {
  if (last_monotonic_) {
    const bool paused = monotonic - *last_monotonic_ > threshold_ ||
                        wall - last_wall_ > threshold_;
    if (paused) last_resume_ = monotonic;
  }
  last_monotonic_ = monotonic;
  last_wall_ = wall;
}

bool PauseDetector::IsFresh(Millis fresh_as_of) const {
  return !last_resume_ || fresh_as_of >= *last_resume_;
}

}  // namespace basilspur::lease
