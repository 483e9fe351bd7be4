#include "cell/lag_watch.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr Millis kInterval(100);

/// Counts how often the watch asks to yield work, over `ticks` ticks that are
/// each delayed by `late`.
static int CountYields(LagWatch& watch, int ticks, Millis late, Millis& now) {
  int yields = 0;
  for (int i = 0; i < ticks; ++i) {
    now = now + kInterval + late;
    if (watch.OnTick(kInterval, kInterval + late, now)) ++yields;
  }
  return yields;
}

TEST_CASE("slightly delayed ticks do not make a node yield work") {
  LagWatch watch{LagSettings{}};
  Millis now(1'000'000);
  CHECK(CountYields(watch, 1'000, Millis(20), now) == 0);
}

TEST_CASE("a node with delayed ticks yields work once per cooldown") {
  LagWatch watch{LagSettings{}};
  Millis now(1'000'000);
  CHECK(CountYields(watch, 60, Millis(120), now) == 1);
  CHECK(CountYields(watch, 30, Millis(120), now) == 0);
  CHECK(CountYields(watch, 200, Millis(120), now) >= 1);
}

TEST_CASE("a single long suspension does not count as overload") {
  LagWatch watch{LagSettings{}};
  Millis now(1'000'000);
  CHECK(CountYields(watch, 1, Millis(8'000), now) == 0);
  CHECK(CountYields(watch, 200, Millis(5), now) == 0);
}
