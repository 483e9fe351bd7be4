#include "cell/service_watch.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr Millis kStart(100'000);
static constexpr Millis kTick(100);
static constexpr Millis kShortAge(5);
static constexpr Millis kLongAge(1'200);

/// Lets a request of this age be read on each tick. Returns how long it took
/// until the cell should be released; `duration` if it should not.
static Millis ReleasedAfter(ServiceWatch& watch, Millis age, int releases,
                            Millis duration) {
  watch.Start(kStart);
  for (Millis passed = kTick; passed < duration; passed = passed + kTick) {
    watch.OnRequest(age);
    if (watch.ShouldRelease(releases, kStart + passed)) return passed;
  }
  return duration;
}

TEST_CASE("an owner that reads its requests too late releases the cell") {
  ServiceWatch watch;
  CHECK(ReleasedAfter(watch, kLongAge, 0, Millis(60'000)) <= Millis(2'000));
  CHECK(watch.LastWindow().late > 0);
  CHECK(watch.LastWindow().max_age == kLongAge);
}

TEST_CASE("an owner that reads its requests in time keeps the cell") {
  ServiceWatch watch;
  CHECK(ReleasedAfter(watch, kShortAge, 0, Millis(60'000)) == Millis(60'000));
  CHECK(watch.HasRecovered(kStart + Millis(60'000)));
}

TEST_CASE("an owner keeps its cell longer with each release in a row") {
  // Else a cell wanders between slow entries.
  ServiceWatch watch;
  Millis last(0);
  for (int releases = 0; releases <= 6; ++releases) {
    const Millis after =
        ReleasedAfter(watch, kLongAge, releases, Millis(100'000));
    CHECK(after > last);
    CHECK(after < Millis(100'000));
    last = after;
  }
  CHECK(last >= Millis(60'000));
}

TEST_CASE("an owner keeps its cell after its machine was suspended once") {
  // All requests that have waited meanwhile are read at once.
  ServiceWatch watch;
  watch.Start(kStart);
  for (int i = 0; i < 50; ++i) watch.OnRequest(Millis(3'000));
  for (Millis now = kStart + kTick; now < kStart + Millis(20'000);
       now = now + kTick) {
    CHECK(!watch.ShouldRelease(0, now));
    watch.OnRequest(kShortAge);
  }
}

TEST_CASE("an owner with few requests releases the cell for late ones") {
  // Entries that back off send few of them.
  ServiceWatch watch;
  watch.Start(kStart);
  bool released = false;
  for (int tick = 1; tick <= 100 && !released; ++tick) {
    if (tick % 10 == 0) watch.OnRequest(kLongAge);
    released = watch.ShouldRelease(0, kStart + kTick * tick);
  }
  CHECK(released);
}
