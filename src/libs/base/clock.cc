#include "base/clock.h"

#include <chrono>
#include <ctime>

namespace basilspur {

template <class ChronoClock>
static Millis SinceEpoch() {
  const auto elapsed = ChronoClock::now().time_since_epoch();
  return Millis(
      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

Millis SystemClock::Monotonic() const {
  return SinceEpoch<std::chrono::steady_clock>();
}

Millis SystemClock::Wall() const {
  return SinceEpoch<std::chrono::system_clock>();
}

Millis BootClock::Monotonic() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(now.tv_sec * 1'000 + now.tv_nsec / 1'000'000);
}

Millis BootClock::Wall() const { return SystemClock().Wall(); }

}  // namespace basilspur
