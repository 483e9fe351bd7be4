#include <catch2/catch.hpp>

#include "cell/election.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static constexpr Millis kNow(1'000'000);

TEST_CASE(
    "a node that reads its own older record after a peer's claim does not own "
    "the cell again") {
  Election a(ElectionSettings{}, "a", "a-1", 7);
  Election b(ElectionSettings{}, "b", "b-1", 7);
  a.OnEnd(0, kNow);
  b.OnEnd(0, kNow);
  const OwnerRecord claim = a.MakeClaimRecord("a:1", kNow);
  a.OnRecord(claim, 0, kNow);
  REQUIRE(a.Owns());
  const OwnerRecord renewal = a.MakeRenewalRecord("a:1");
  b.OnRecord(claim, 0, kNow);
  b.OnRecord(renewal, 1, kNow);
  // The partition is read again after an append without an answer, while a
  // slice with the renewal is on its way to the watcher.
  a.OnRecord(b.MakeClaimRecord("b:1", kNow), 2, kNow);
  REQUIRE(!a.Owns());
  a.OnRecord(renewal, 1, kNow);
  CHECK(!a.Owns());
}
