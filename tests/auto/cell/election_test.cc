#include "cell/election.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const ElectionSettings kSettings;
static constexpr Millis kNow(1'000'000);

static Election MakeElection(const char* node) {
  return Election(kSettings, node, std::string(node) + "-1", 7);
}

/// Time from which `node` surely runs, if it is free to.
static constexpr Millis kLongEnough(5'000);

static bool Runs(Election& election, Millis from) {
  for (Millis at = from; at < from + kLongEnough; at = at + Millis(50)) {
    if (election.ShouldRun(0, at)) return true;
  }
  return false;
}

TEST_CASE("nobody runs before the partition has been read") {
  Election election = MakeElection("a");
  CHECK(!Runs(election, kNow));
  election.OnEnd(0, kNow);
  CHECK(Runs(election, kNow));
}

TEST_CASE("the offset of its first record is an owner's token") {
  Election a = MakeElection("a");
  a.OnEnd(5, kNow);
  a.OnRecord(a.BeginRecord("a:1"), 5, kNow);
  CHECK(a.Owns());
  CHECK(a.Token() == 5);
  CHECK(a.Term() == 1);
  CHECK(a.WasHandedOver());
  a.OnRecord(a.RenewalRecord("a:1"), 6, kNow + Millis(1'000));
  CHECK(a.Token() == 5);
}

TEST_CASE("an owner that renews is left alone, a silent one is followed") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  a.OnEnd(0, kNow);
  b.OnEnd(0, kNow);
  const OwnerRecord first = a.BeginRecord("a:1");
  a.OnRecord(first, 0, kNow);
  b.OnRecord(first, 0, kNow);
  Millis at = kNow;
  for (int i = 0; i < 5; ++i) {
    CHECK(!b.ShouldRun(0, at));
    at = at + kSettings.renewal;
    b.OnRecord(a.RenewalRecord("a:1"), i + 1, at);
  }
  CHECK(!b.ShouldRun(0, at + kSettings.silence - Millis(1)));
  REQUIRE(Runs(b, at + kSettings.silence));
  const OwnerRecord second = b.BeginRecord("b:1");
  b.OnRecord(second, 6, at);
  CHECK(b.Owns());
  CHECK(b.Term() == 2);
  CHECK(!b.WasHandedOver());
  REQUIRE(b.Former().size() == 1);
  CHECK(b.Former()[0].node == "a");
  a.OnRecord(second, 6, at);
  CHECK(!a.Owns());
}

TEST_CASE("a cell that was given up is taken at once, with nobody to dismiss") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  a.OnEnd(0, kNow);
  b.OnEnd(0, kNow);
  const OwnerRecord first = a.BeginRecord("a:1");
  a.OnRecord(first, 0, kNow);
  b.OnRecord(first, 0, kNow);
  OwnerRecord vacant = a.RenewalRecord("a:1");
  vacant.vacant = true;
  a.OnRecord(vacant, 1, kNow);
  b.OnRecord(vacant, 1, kNow);
  CHECK(!a.Owns());
  REQUIRE(Runs(b, kNow));
  b.OnRecord(b.BeginRecord("b:1"), 2, kNow);
  CHECK(b.WasHandedOver());
}

TEST_CASE("former owners that were not dismissed are handed on") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  Election c = MakeElection("c");
  for (Election* election : {&a, &b, &c}) election->OnEnd(0, kNow);
  const OwnerRecord first = a.BeginRecord("a:1");
  for (Election* election : {&b, &c}) election->OnRecord(first, 0, kNow);
  const OwnerRecord second = b.BeginRecord("b:1");
  for (Election* election : {&b, &c}) election->OnRecord(second, 1, kNow);
  OwnerRecord vacant = b.RenewalRecord("b:1");
  vacant.vacant = true;
  c.OnRecord(vacant, 2, kNow);
  c.OnRecord(c.BeginRecord("c:1"), 3, kNow);
  // "b" gave the cell up, but could never tell "a".
  CHECK(!c.WasHandedOver());
  REQUIRE(c.Former().size() == 1);
  CHECK(c.Former()[0].node == "a");
  c.OnFormerGone(c.Former()[0]);
  CHECK(c.Former().empty());
}

TEST_CASE("an owner speaks for its cell only shortly after a renewal") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  a.OnRecord(a.BeginRecord("a:1"), 0, kNow);
  CHECK(a.IsFresh(kNow + kSettings.fresh - Millis(1)));
  CHECK(!a.IsFresh(kNow + kSettings.fresh));
  CHECK(kSettings.fresh < kSettings.silence);
  CHECK(!a.IsOrphaned(kNow + kSettings.orphaned));
  CHECK(a.IsOrphaned(kNow + kSettings.orphaned + Millis(1)));
}

TEST_CASE("an ownership that was stepped down from does not come back") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord first = a.BeginRecord("a:1");
  a.OnRecord(first, 0, kNow);
  a.StepDown();
  a.OnRecord(first, 0, kNow);
  CHECK(!a.Owns());
  // It may run again, under a new token.
  REQUIRE(Runs(a, kNow + kSettings.silence));
  a.OnRecord(a.BeginRecord("a:1"), 1, kNow);
  CHECK(a.Token() == 1);
}

TEST_CASE("an owner whose process is gone is followed without waiting") {
  Election b = MakeElection("b");
  b.OnEnd(0, kNow);
  OwnerRecord record = MakeElection("a").BeginRecord("a:1");
  b.OnRecord(record, 0, kNow);
  b.OnOwnerDead("another-process", kNow);
  CHECK(!b.ShouldRun(0, kNow));
  b.OnOwnerDead("a-1", kNow);
  CHECK(Runs(b, kNow));
}

TEST_CASE("a cell given up before all was journaled is not taken for whole") {
  const bool whole = GENERATE(false, true);
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord begin = a.BeginRecord("a:1");
  a.OnRecord(begin, 0, kNow);
  OwnerRecord vacant = a.RenewalRecord("a:1");
  vacant.vacant = true;
  vacant.whole = whole;
  Election b = MakeElection("b");
  b.OnRecord(begin, 0, kNow);
  b.OnRecord(vacant, 1, kNow);
  b.OnEnd(2, kNow);
  b.OnRecord(b.BeginRecord("b:1"), 2, kNow);
  REQUIRE(b.Owns());
  CHECK(b.WasHandedOver());
  CHECK(b.HasWholeRecords() == whole);
}

TEST_CASE("a cell whose owner fell silent has no whole records") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord begin = a.BeginRecord("a:1");
  Election b = MakeElection("b");
  b.OnRecord(begin, 0, kNow);
  b.OnEnd(1, kNow);
  b.OnRecord(b.BeginRecord("b:1"), 1, kNow + Millis(5'000));
  REQUIRE(b.Owns());
  CHECK(!b.HasWholeRecords());
}
