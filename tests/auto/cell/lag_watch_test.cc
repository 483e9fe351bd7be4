#include "cell/lag_watch.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr Millis kInterval(100);

/// How often the watch says that work should go, over `ticks` ticks that each
/// come `late`.
static int CountYields(LagWatch& watch, int ticks, Millis late, Millis& now) {
  int yields = 0;
  for (int i = 0; i < ticks; ++i) {
    now = now + kInterval + late;
    if (watch.OnTick(kInterval, kInterval + late, now)) ++yields;
  }
  return yields;
}

TEST_CASE("a node whose ticks come a little late keeps its work") {
  LagWatch watch{LagSettings{}};
  Millis now(1'000'000);
  CHECK(CountYields(watch, 1'000, Millis(20), now) == 0);
}

TEST_CASE("a node whose ticks keep coming late gives work away, with rests") {
  LagWatch watch{LagSettings{}};
  Millis now(1'000'000);
  CHECK(CountYields(watch, 60, Millis(120), now) == 1);
  CHECK(CountYields(watch, 30, Millis(120), now) == 0);
  CHECK(CountYields(watch, 200, Millis(120), now) >= 1);
}

TEST_CASE("one long suspension is no lack of processor time") {
  LagWatch watch{LagSettings{}};
  Millis now(1'000'000);
  CHECK(CountYields(watch, 1, Millis(8'000), now) == 0);
  CHECK(CountYields(watch, 200, Millis(5), now) == 0);
}
