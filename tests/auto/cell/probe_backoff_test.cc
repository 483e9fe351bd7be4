#include <catch2/catch.hpp>

#include "cell/follow_policy.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr Millis kStart(100'000);
static constexpr Millis kTick(100);
static constexpr int kTicksUntilTimeout = 8;

/// Sends probes, each of which times out, for 30 s. Returns how many.
static int CountUnansweredProbes(std::uint64_t seed) {
  FollowPolicy policy(/*cells=*/12, seed);
  policy.OnOwnerDoubted(kStart);
  int probes = 0;
  int timeout_at = -1;
  for (int tick = 1; tick <= 300; ++tick) {
    const Millis now = kStart + kTick * tick;
    if (tick == timeout_at) {
      timeout_at = -1;
      policy.OnProbeUnanswered(now);
      policy.OnOwnerDoubted(now);
    }
    if (timeout_at >= 0) continue;
    if (!policy.ShouldProbe(OwnerKnowledge::kOther, /*owns_cells=*/false, now))
      continue;
    ++probes;
    timeout_at = tick + kTicksUntilTimeout;
  }
  return probes;
}

TEST_CASE("probes of a silent owner become rare, but don't end") {
  // 35 entries that probe a slow owner each 200 ms keep it from answering any.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const int probes = CountUnansweredProbes(seed);
    CHECK(probes <= 20);
    CHECK(probes >= 8);
  }
}

TEST_CASE("a doubted owner is probed at the short interval once it answered") {
  FollowPolicy policy(/*cells=*/12, 1);
  for (int i = 0; i < 5; ++i) policy.OnProbeUnanswered(kStart);
  policy.OnOwnerAnswered(/*candidate=*/false, kStart);
  policy.OnOwnerDoubted(kStart);
  // The first probe may be due at once.
  policy.ShouldProbe(OwnerKnowledge::kOther, false, kStart);
  CHECK(
      policy.ShouldProbe(OwnerKnowledge::kOther, false, kStart + Millis(200)));
}
