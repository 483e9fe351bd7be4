#include "cell/election.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const ElectionSettings kSettings;
static constexpr Millis kNow(1'000'000);

static Election MakeElection(const char* node) {
  return Election(kSettings, node, std::string(node) + "-1", 7);
}

/// A node that may campaign does so within this time.
static constexpr Millis kCampaignTimeout(5'000);

static bool Campaigns(Election& election, Millis from) {
  for (Millis at = from; at < from + kCampaignTimeout; at = at + Millis(50)) {
    if (election.ShouldCampaign(0, at)) return true;
  }
  return false;
}

TEST_CASE("a node does not campaign before the partition has been read") {
  Election election = MakeElection("a");
  CHECK(!Campaigns(election, kNow));
  election.OnEnd(0, kNow);
  CHECK(Campaigns(election, kNow));
}

TEST_CASE("the offset of its claim is an owner's token") {
  Election a = MakeElection("a");
  a.OnEnd(5, kNow);
  a.OnRecord(a.MakeClaimRecord("a:1", kNow), 5, kNow);
  CHECK(a.Owns());
  CHECK(a.Token() == 5);
  CHECK(a.Term() == 1);
  CHECK(a.WasHandedOver());
  a.OnRecord(a.MakeRenewalRecord("a:1"), 6, kNow + Millis(1'000));
  CHECK(a.Token() == 5);
}

TEST_CASE("an owner is replaced only when its renewals have stopped") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  a.OnEnd(0, kNow);
  b.OnEnd(0, kNow);
  const OwnerRecord first = a.MakeClaimRecord("a:1", kNow);
  a.OnRecord(first, 0, kNow);
  b.OnRecord(first, 0, kNow);
  Millis at = kNow;
  for (int i = 0; i < 5; ++i) {
    CHECK(!b.ShouldCampaign(0, at));
    at = at + kSettings.renewal_interval;
    b.OnRecord(a.MakeRenewalRecord("a:1"), i + 1, at);
  }
  CHECK(!b.ShouldCampaign(0, at + kSettings.owner_timeout - Millis(1)));
  REQUIRE(Campaigns(b, at + kSettings.owner_timeout));
  const OwnerRecord second = b.MakeClaimRecord("b:1", kNow);
  b.OnRecord(second, 6, at);
  CHECK(b.Owns());
  CHECK(b.Term() == 2);
  CHECK(!b.WasHandedOver());
  REQUIRE(b.FormerOwners().size() == 1);
  CHECK(b.FormerOwners()[0].node == "a");
  a.OnRecord(second, 6, at);
  CHECK(!a.Owns());
}

TEST_CASE("a released cell is claimed at once, without former owners") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  a.OnEnd(0, kNow);
  b.OnEnd(0, kNow);
  const OwnerRecord first = a.MakeClaimRecord("a:1", kNow);
  a.OnRecord(first, 0, kNow);
  b.OnRecord(first, 0, kNow);
  OwnerRecord vacant = a.MakeRenewalRecord("a:1");
  vacant.vacant = true;
  a.OnRecord(vacant, 1, kNow);
  b.OnRecord(vacant, 1, kNow);
  CHECK(!a.Owns());
  REQUIRE(Campaigns(b, kNow));
  b.OnRecord(b.MakeClaimRecord("b:1", kNow), 2, kNow);
  CHECK(b.WasHandedOver());
}

TEST_CASE("former owners that did not confirm to have stopped are passed on") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  Election c = MakeElection("c");
  for (Election* election : {&a, &b, &c}) election->OnEnd(0, kNow);
  const OwnerRecord first = a.MakeClaimRecord("a:1", kNow);
  for (Election* election : {&b, &c}) election->OnRecord(first, 0, kNow);
  const OwnerRecord second = b.MakeClaimRecord("b:1", kNow);
  for (Election* election : {&b, &c}) election->OnRecord(second, 1, kNow);
  OwnerRecord vacant = b.MakeRenewalRecord("b:1");
  vacant.vacant = true;
  c.OnRecord(vacant, 2, kNow);
  c.OnRecord(c.MakeClaimRecord("c:1", kNow), 3, kNow);
  // "b" released the cell, but "a" has never confirmed that it stepped down.
  CHECK(!c.WasHandedOver());
  REQUIRE(c.FormerOwners().size() == 1);
  CHECK(c.FormerOwners()[0].node == "a");
  c.OnFormerOwnerStopped(c.FormerOwners()[0]);
  CHECK(c.FormerOwners().empty());
}

TEST_CASE("an owner is authoritative only shortly after a renewal") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  a.OnRecord(a.MakeClaimRecord("a:1", kNow), 0, kNow);
  CHECK(a.IsAuthoritative(kNow + kSettings.authoritative_period - Millis(1)));
  CHECK(!a.IsAuthoritative(kNow + kSettings.authoritative_period));
  CHECK(kSettings.authoritative_period < kSettings.owner_timeout);
  CHECK(!a.IsExpired(kNow + kSettings.expiry));
  CHECK(a.IsExpired(kNow + kSettings.expiry + Millis(1)));
}

TEST_CASE("an ownership does not resume after the owner has stepped down") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord first = a.MakeClaimRecord("a:1", kNow);
  a.OnRecord(first, 0, kNow);
  a.StepDown();
  a.OnRecord(first, 0, kNow);
  CHECK(!a.Owns());
  // It may campaign again, under a new token.
  REQUIRE(Campaigns(a, kNow + kSettings.owner_timeout));
  a.OnRecord(a.MakeClaimRecord("a:1", kNow), 1, kNow);
  CHECK(a.Token() == 1);
}

TEST_CASE("an owner whose process has terminated is replaced at once") {
  Election b = MakeElection("b");
  b.OnEnd(0, kNow);
  OwnerRecord record = MakeElection("a").MakeClaimRecord("a:1", kNow);
  b.OnRecord(record, 0, kNow);
  b.OnOwnerTerminated("another-process", kNow);
  CHECK(!b.ShouldCampaign(0, kNow));
  b.OnOwnerTerminated("a-1", kNow);
  CHECK(Campaigns(b, kNow));
}

TEST_CASE("a journal is complete only if the vacant record says so") {
  const bool journal_complete = GENERATE(false, true);
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord claim = a.MakeClaimRecord("a:1", kNow);
  a.OnRecord(claim, 0, kNow);
  OwnerRecord vacant = a.MakeRenewalRecord("a:1");
  vacant.vacant = true;
  vacant.journal_complete = journal_complete;
  Election b = MakeElection("b");
  b.OnRecord(claim, 0, kNow);
  b.OnRecord(vacant, 1, kNow);
  b.OnEnd(2, kNow);
  b.OnRecord(b.MakeClaimRecord("b:1", kNow), 2, kNow);
  REQUIRE(b.Owns());
  CHECK(b.WasHandedOver());
  CHECK(b.HasCompleteJournal() == journal_complete);
}

TEST_CASE("the journal of an owner that timed out is not complete") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord claim = a.MakeClaimRecord("a:1", kNow);
  Election b = MakeElection("b");
  b.OnRecord(claim, 0, kNow);
  b.OnEnd(1, kNow);
  b.OnRecord(b.MakeClaimRecord("b:1", kNow), 1, kNow + Millis(5'000));
  REQUIRE(b.Owns());
  CHECK(!b.HasCompleteJournal());
}

TEST_CASE(
    "an older record that is read late does not make a cell look released") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  Election c = MakeElection("c");
  a.OnEnd(0, kNow);
  c.OnEnd(0, kNow);
  const OwnerRecord first = a.MakeClaimRecord("a:1", kNow);
  a.OnRecord(first, 0, kNow);
  OwnerRecord vacant = a.MakeRenewalRecord("a:1");
  vacant.vacant = true;
  vacant.journal_complete = true;
  b.OnRecord(first, 0, kNow);
  b.OnRecord(vacant, 1, kNow);
  b.OnEnd(2, kNow);
  // "c" reads the newest record before its watcher delivers the older ones.
  c.OnRecord(b.MakeClaimRecord("b:1", kNow), 2, kNow);
  c.OnRecord(first, 0, kNow);
  c.OnRecord(vacant, 1, kNow);
  REQUIRE(c.Owner());
  CHECK(c.Owner()->node == "b");
  CHECK(!c.ShouldCampaign(0, kNow));
  REQUIRE(Campaigns(c, kNow + kSettings.owner_timeout));
  const OwnerRecord claim = c.MakeClaimRecord("c:1", kNow);
  REQUIRE(claim.former_owners.size() == 1);
  CHECK(claim.former_owners[0].node == "b");
  c.OnRecord(claim, 3, kNow + kSettings.owner_timeout);
  REQUIRE(c.Owns());
  CHECK(!c.WasHandedOver());
  CHECK(!c.HasCompleteJournal());
}

TEST_CASE("an ownership counts from when its claim was sent") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord claim = a.MakeClaimRecord("a:1", kNow);
  // The entry was frozen before it read the store's answer.
  const Millis read_at = kNow + kSettings.owner_timeout;
  a.OnRecord(claim, 0, read_at);
  REQUIRE(a.Owns());
  CHECK(!a.IsAuthoritative(read_at));
  CHECK(!a.IsExpired(kNow + kSettings.expiry));
  CHECK(a.IsExpired(kNow + kSettings.expiry + Millis(1)));
}

TEST_CASE("a claim that was sent twice counts from when it was first sent") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  a.MakeClaimRecord("a:1", kNow);
  const Millis sent_again = kNow + Millis(1'300);
  // The store carries out the first one late.
  a.OnRecord(a.MakeClaimRecord("a:1", sent_again), 0, sent_again);
  REQUIRE(a.Owns());
  CHECK(!a.IsAuthoritative(kNow + kSettings.authoritative_period));
}

TEST_CASE(
    "an entry that was asked to step down does not act on an older claim") {
  Election a = MakeElection("a");
  a.OnEnd(0, kNow);
  const OwnerRecord claim = a.MakeClaimRecord("a:1", kNow);
  // The store carries the claim out, and "b" replaces "a" under the token 1.
  a.StepDownBefore(1);
  a.OnRecord(claim, 0, kNow);
  CHECK(!a.Owns());
}

TEST_CASE("a request to step down does not end a later ownership") {
  Election a = MakeElection("a");
  a.OnEnd(1, kNow);
  a.OnRecord(a.MakeClaimRecord("a:1", kNow), 1, kNow);
  a.StepDownBefore(1);
  CHECK(a.Owns());
}

TEST_CASE("a released cell is claimed by the named successor before others") {
  Election successor = MakeElection("b");
  Election other = MakeElection("c");
  OwnerRecord vacant = MakeElection("a").MakeClaimRecord("a:1", kNow);
  vacant.token = 0;
  vacant.vacant = true;
  vacant.successor = "b-1";
  for (Election* election : {&successor, &other}) {
    election->OnRecord(vacant, 1, kNow);
    election->OnEnd(2, kNow);
  }
  // It does not wait, however many cells it owns.
  CHECK(successor.ShouldCampaign(3, kNow));
  for (Millis at = kNow; at < kNow + kSettings.successor_head_start;
       at = at + Millis(10)) {
    CHECK(!other.ShouldCampaign(0, at));
  }
  // The successor may not exist any more.
  const Millis latest =
      kNow + kSettings.successor_head_start + kSettings.campaign_jitter;
  CHECK(other.ShouldCampaign(0, latest));
}

/// Guards against an ownership that outlasts its successor, whose claim was not
/// read.
TEST_CASE("the release of a later ownership ends an ownership") {
  Election a = MakeElection("a");
  Election b = MakeElection("b");
  a.OnEnd(0, kNow);
  a.OnRecord(a.MakeClaimRecord("a:1", kNow), 0, kNow);
  REQUIRE(a.Owns());
  b.OnEnd(1, kNow);
  b.OnRecord(b.MakeClaimRecord("b:1", kNow), 1, kNow);
  OwnerRecord vacant = b.MakeRenewalRecord("b:1");
  vacant.vacant = true;
  a.OnRecord(vacant, 2, kNow);
  CHECK(!a.Owns());
}
