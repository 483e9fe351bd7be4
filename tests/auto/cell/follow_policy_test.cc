#include "cell/follow_policy.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr int kCells = 13;
static constexpr Millis kStart(100'000);
static constexpr Millis kTick(100);

/// Number of probes of one cell in `duration`, without doubt.
static int CountProbes(FollowPolicy& policy, bool owns_cells, Millis duration) {
  int probes = 0;
  for (Millis now = kStart; now < kStart + duration; now = now + kTick) {
    if (policy.ShouldProbe(OwnerKnowledge::kOther, owns_cells, now)) ++probes;
  }
  return probes;
}

TEST_CASE("only an entry without a known owner, or the owner, follows") {
  const FollowPolicy policy(kCells, 1);
  CHECK(policy.ShouldFollow(OwnerKnowledge::kNone, kStart));
  CHECK(policy.ShouldFollow(OwnerKnowledge::kSelf, kStart));
  CHECK(!policy.ShouldFollow(OwnerKnowledge::kOther, kStart));
}

TEST_CASE("a candidate follows until the owner stops to confirm it") {
  FollowPolicy policy(kCells, 1);
  policy.OnOwnerAnswered(/*candidate=*/true, kStart);
  CHECK(policy.ShouldFollow(OwnerKnowledge::kOther, kStart + Millis(2'000)));
  CHECK(!policy.ShouldFollow(OwnerKnowledge::kOther, kStart + Millis(6'000)));
  policy.OnOwnerAnswered(/*candidate=*/false, kStart + Millis(100));
  CHECK(!policy.ShouldFollow(OwnerKnowledge::kOther, kStart + Millis(200)));
}

TEST_CASE("an entry in doubt follows and probes until the owner answers") {
  FollowPolicy policy(kCells, 1);
  CountProbes(policy, false, Millis(1'000));
  policy.OnOwnerDoubted(kStart);
  CHECK(policy.ShouldFollow(OwnerKnowledge::kOther, kStart + Millis(3'000)));
  CHECK(CountProbes(policy, false, Millis(2'000)) >= 8);
  policy.OnOwnerAnswered(/*candidate=*/false, kStart + Millis(2'000));
  CHECK(!policy.ShouldFollow(OwnerKnowledge::kOther, kStart + Millis(2'100)));
}

TEST_CASE("an entry without cells probes one owner a second") {
  int probes = 0;
  for (int cell = 0; cell < kCells; ++cell) {
    FollowPolicy policy(kCells, static_cast<std::uint64_t>(cell));
    probes += CountProbes(policy, /*owns_cells=*/false, Millis(26'000));
  }
  CHECK(probes >= 20);
  CHECK(probes <= 30);
}

TEST_CASE("the probes of an owner do not grow with the number of cells") {
  static constexpr int kManyCells = 200;
  int probes = 0;
  for (int cell = 0; cell < kManyCells; ++cell) {
    FollowPolicy policy(kManyCells, static_cast<std::uint64_t>(cell));
    probes += CountProbes(policy, /*owns_cells=*/true, Millis(32'000));
  }
  CHECK(probes <= 32 * 13);
}
