#include "base/log_budget.h"

#include <catch2/catch.hpp>

using namespace basilspur;  // NOLINT(google-build-using-namespace)

static constexpr Millis kNow(1'000'000);
static constexpr LogBudget::Limits kLimits{10, 5};

TEST_CASE("a line's kind is the name of its event") {
  CHECK(LogBudget::KindOf("event=vm_silent vm=a") == "vm_silent");
  CHECK(LogBudget::KindOf("event=start") == "start");
  CHECK(LogBudget::KindOf("some text").empty());
}

TEST_CASE("a kind that repeats is left out, and the next line counts it") {
  LogBudget budget(kLimits);
  for (int i = 0; i < 5; ++i) CHECK(budget.Take("event=a", kNow) == 0);
  for (int i = 0; i < 7; ++i) CHECK(budget.Take("event=a", kNow) == -1);
  CHECK(budget.Take("event=b", kNow) == 0);
  CHECK(budget.Take("event=a x=1", kNow + Millis(200)) == 7);
  CHECK(budget.Take("event=a", kNow + Millis(200)) == 0);
  CHECK(budget.Take("event=a", kNow + Millis(200)) == -1);
}

TEST_CASE("in the long run a kind gets its lines a second") {
  LogBudget budget(kLimits);
  int written = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (budget.Take("event=a", kNow + Millis(i)) >= 0) ++written;
  }
  CHECK(written >= 100);
  CHECK(written <= 106);
}

TEST_CASE("a line that could not be written is counted too") {
  LogBudget budget(kLimits);
  CHECK(budget.Take("event=a", kNow) == 0);
  budget.OnDropped("event=a", 1);
  CHECK(budget.Take("event=a", kNow) == 1);
}
