#include "stop_schedule.h"

#include <catch2/catch.hpp>

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

TEST_CASE("a short grace leaves no time for answers or for the exit") {
  for (const int grace_ms : {500, 1'000, 2'000, 2'999, 4'000, 6'000, 60'000}) {
    CAPTURE(grace_ms);
    const Millis grace(grace_ms);
    const StopSchedule schedule = MakeStopSchedule(grace);
    CHECK(schedule.min_drain > Millis(0));
    CHECK(schedule.min_drain <= schedule.reply_limit);
    CHECK(schedule.reply_limit + Millis(100) <= schedule.drain_limit);
    CHECK(schedule.drain_limit + Millis(100) <= grace);
  }
}

TEST_CASE("the limits of a stop follow the usual grace") {
  const StopSchedule schedule = MakeStopSchedule(Millis(6'000));
  CHECK(schedule.min_drain == Millis(2'500));
  CHECK(schedule.reply_limit == Millis(4'800));
  CHECK(schedule.drain_limit == Millis(5'300));
}
