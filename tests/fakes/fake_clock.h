#ifndef BASILSPUR_TESTS_FAKES_FAKE_CLOCK_H_
#define BASILSPUR_TESTS_FAKES_FAKE_CLOCK_H_

#include "base/clock.h"

namespace basilspur::fakes {

/// A clock that only moves when a test advances it.
///
/// Thread safety: one thread at a time.
class FakeClock final : public Clock {
 public:
  Millis Monotonic() const override { return now_; }
  Millis Wall() const override { return now_ + wall_offset_; }

  void Advance(Millis duration) { now_ = now_ + duration; }
  /// Changes Wall() alone, as a correction of the system time does.
  void ShiftWallClock(Millis duration) {
    wall_offset_ = wall_offset_ + duration;
  }

 private:
  Millis now_{1'000'000};
  Millis wall_offset_{1'700'000'000'000};
};

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_FAKE_CLOCK_H_
