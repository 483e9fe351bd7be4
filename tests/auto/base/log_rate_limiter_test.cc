#include "base/log_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace basilspur;  // NOLINT(google-build-using-namespace)

static constexpr Millis kNow(1'000'000);
static constexpr LogRateLimiter::Limits kLimits{10, 5};

TEST_CASE("lines are counted by event name") {
  CHECK(LogRateLimiter::EventNameOf("event=vm_silent vm=a") == "vm_silent");
  CHECK(LogRateLimiter::EventNameOf("event=start") == "start");
  CHECK(LogRateLimiter::EventNameOf("some text").empty());
}

TEST_CASE("lines over the limit are left out and counted in the next line") {
  LogRateLimiter limiter(kLimits);
  for (int i = 0; i < 5; ++i) CHECK(limiter.Admit("event=a", kNow) == 0);
  for (int i = 0; i < 7; ++i) CHECK(limiter.Admit("event=a", kNow) == -1);
  CHECK(limiter.Admit("event=b", kNow) == 0);
  CHECK(limiter.Admit("event=a x=1", kNow + Millis(200)) == 7);
  CHECK(limiter.Admit("event=a", kNow + Millis(200)) == 0);
  CHECK(limiter.Admit("event=a", kNow + Millis(200)) == -1);
}

TEST_CASE("the long-term rate per event name is the configured rate") {
  LogRateLimiter limiter(kLimits);
  int written = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (limiter.Admit("event=a", kNow + Millis(i)) >= 0) ++written;
  }
  CHECK(written >= 100);
  CHECK(written <= 106);
}

TEST_CASE("a line that could not be written is counted as left out") {
  LogRateLimiter limiter(kLimits);
  CHECK(limiter.Admit("event=a", kNow) == 0);
  limiter.OnLinesDropped("event=a", 1);
  CHECK(limiter.Admit("event=a", kNow) == 1);
}
