#include "cell/cell_member.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <utility>

#include "auto/cell/cell_member_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const ElectionSettings kSettings;
static constexpr Millis kTick(50);

TEST_CASE("a claim does not replace an owner that was read after it was made") {
  CellMemberFixture fixture;
  // The claim of "b" has been read, but its handler runs only after the tick
  // that lets this entry campaign.
  const std::int64_t token = fixture.AppendClaimOf("b");
  for (Millis passed; passed <= kSettings.campaign_jitter;
       passed = passed + kTick) {
    fixture.clock.Advance(kTick);
    fixture.member->Tick(0);
  }
  fixture.Pump();
  CHECK(fixture.NewestRecord().node == "b");
  CHECK(!fixture.member->Owns());
  REQUIRE(fixture.member->KnownOwner());
  CHECK(fixture.member->KnownOwner()->token == token);
}

TEST_CASE(
    "a renewal does not replace an owner that was read after it was made") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.TickFor(Millis(300));
  fixture.AppendClaimOf("b");
  fixture.clock.Advance(kSettings.renewal_interval);
  fixture.member->Tick(1);
  fixture.Pump();
  CHECK(fixture.NewestRecord().node == "b");
  CHECK(!fixture.member->Owns());
}

TEST_CASE(
    "a hand-over that is repeated does not release a cell of its successor") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.PumpFor(Millis(30));
  // No attempt reaches the store, and "b" claims the cell between two of them.
  fixture.store.newest_unreadable = true;
  fixture.store.on_append_at = [&](auto&&...) {
    fixture.store.on_append_at = nullptr;
    return AppendAnswer();
  };
  net::asio::co_spawn(fixture.context, fixture.member->Yield(Millis(15'000)),
                      net::asio::detached);
  fixture.PumpFor(Millis(30));
  REQUIRE(!fixture.store.on_append_at);
  fixture.AppendClaimOf("b");
  fixture.PumpFor(Millis(300));
  CHECK(fixture.NewestRecord().node == "b");
  CHECK(!fixture.NewestRecord().vacant);
}

TEST_CASE(
    "a claim that is read after a request to step down begins no ownership") {
  CellMemberFixture fixture;
  fixture.store.watchers_cut = true;
  fixture.store.newest_unreadable = true;
  // The claim is stored, but its answer is lost.
  fixture.store.on_append_at = [&](const Partition& partition, std::int64_t end,
                                   const std::vector<KeyedRecord>& records) {
    fixture.store.on_append_at = nullptr;
    fixture.store.Append(partition, end, records);
    return AppendAnswer();
  };
  for (int i = 0; i < 20 && fixture.store.on_append_at; ++i) {
    fixture.TickFor(kTick);
  }
  REQUIRE(fixture.NewestRecord().node == "a");
  fixture.member->OnStepDownRequest(/*token=*/1);
  fixture.store.watchers_cut = false;
  fixture.store.Append(fixture.partition, 1, {{"tails", {}, 0}});
  fixture.Pump();
  REQUIRE(fixture.member->KnownOwner());
  CHECK(!fixture.member->Owns());
  CHECK(fixture.ownerships.empty());
}

TEST_CASE("an owner whose renewals are not stored does not deny jobs") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.PumpFor(Millis(30));
  REQUIRE(fixture.AskFor("unknown") == ReplyKind::kNoSuchJob);
  // The store answers reads only, so others count from the newest record.
  fixture.store.on_append_at = [](auto&&...) { return AppendAnswer(); };
  fixture.TickFor(kSettings.owner_timeout);
  REQUIRE(fixture.member->Owns());
  CHECK(fixture.AskFor("unknown") == ReplyKind::kNotOwner);
}

/// Guards against an owner that takes leases for expired which its successor
/// renews: the confirmation of the ownership bounds them.
TEST_CASE("a read without the ownership's record does not confirm it") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.store.watchers_cut = true;
  SECTION("the store finds no records") {
    fixture.store.empty_topic = fixture.partition.topic;
  }
  SECTION("the owner record can't be decoded") {
    const auto end = static_cast<std::int64_t>(
        fixture.store.Records(fixture.partition).size());
    fixture.store.Append(fixture.partition, end, {{"owner", {'?'}, 0}});
  }
  fixture.store.on_append_at = [](auto&&...) { return AppendAnswer(); };
  fixture.TickFor(kSettings.expiry + Millis(1'000));
  CHECK(fixture.store.newest_reads[fixture.partition.topic] > 2);
  CHECK(!fixture.member->Owns());
}

TEST_CASE("a read of the ownership's record confirms it") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.store.on_append_at = [](auto&&...) { return AppendAnswer(); };
  fixture.TickFor(kSettings.expiry + Millis(1'000));
  CHECK(fixture.member->Owns());
}

TEST_CASE("an entry whose append failed unexpectedly renews again") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.store.on_append_at = [](auto&&...) -> AppendAnswer {
    throw std::runtime_error("unreadable answer");
  };
  fixture.TickFor(kSettings.renewal_interval * 2);
  fixture.store.on_append_at = nullptr;
  fixture.TickFor(kSettings.renewal_interval * 2);
  const int before = fixture.store.conditional_appends;
  fixture.TickFor(kSettings.renewal_interval * 2);
  CHECK(fixture.store.conditional_appends > before);
}

/// The owner does not know the VMs' leases before it has read the journal, and
/// its successor ends runs by what it records.
TEST_CASE("an owner that still reads the journal records no lease as expired") {
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.Pump();
  fixture.store.newest_unreadable = true;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.TickFor(Millis(3'000));
  REQUIRE(!fixture.member->Owner()->IsReady());
  REQUIRE(fixture.NewestRecord().token >= 0);
  CHECK(fixture.NewestRecord().unreachable_vms.empty());
}

TEST_CASE("an owner that still reads the journal repeats the recorded leases") {
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  OwnerRecord previous = CellMemberFixture::MakeRecord("b");
  previous.unreachable_vms = {{"vm", 10'000}};
  fixture.AppendRecord(previous);
  fixture.Pump();
  fixture.store.unreadable_topic = "keyed.jobs";
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.TickFor(Millis(1'200));
  REQUIRE(!fixture.member->Owner()->IsReady());
  const OwnerRecord record = fixture.NewestRecord();
  REQUIRE(record.token >= 0);
  REQUIRE(record.unreachable_vms.size() == 1);
  CHECK(record.unreachable_vms[0].vm == "vm");
  CHECK(record.unreachable_vms[0].lease_remaining_ms <= 10'000);
  CHECK(record.unreachable_vms[0].lease_remaining_ms > 0);
}

/// Lists a VM that the journal does not name, so that the owner writes to the
/// journal once the VM has answered.
static void ListNewVm(CellMemberFixture& fixture) {
  jobs::VmListing listing;
  listing.id = "new";
  listing.address = "new:1";
  listing.service = "workers";
  listing.capacity = {16'000, 64'000, 0};
  fixture.listings.push_back(listing);
  fixture.vms.reports["new"].clock_ms = fixture.clock.Monotonic().count;
}

TEST_CASE("an ownership whose journal writer fails unexpectedly ends") {
  CellMemberFixture fixture;
  ListNewVm(fixture);
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.store.on_append_as = [] {
    throw std::runtime_error("unreadable answer");
  };
  fixture.PumpFor(Millis(200));
  CHECK(!fixture.member->Owns());
  // Another one begins.
  fixture.store.on_append_as = nullptr;
  fixture.TickFor(kSettings.owner_timeout * 2);
  fixture.PumpFor(Millis(200));
  REQUIRE(fixture.member->Owner());
  CHECK(fixture.member->Owner()->IsReady());
}

TEST_CASE("an ownership that fails unexpectedly at its start ends") {
  CellMemberFixture fixture;
  bool failed = false;
  fixture.store.on_append_as = [&] {
    if (std::exchange(failed, true)) return;
    throw std::runtime_error("unreadable answer");
  };
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(50));
  CHECK(failed);
  CHECK(fixture.ownerships.size() == 2);
  REQUIRE(fixture.member->Owner());
  CHECK(fixture.member->Owner()->IsReady());
}

TEST_CASE("a VM that left before an owner took over is not in use again") {
  CellMemberFixture fixture;
  const Partition journal{"keyed.jobs", 0};
  const jobs::VmRecord left{0, "left:1"};
  fixture.store.Append(journal, 0, {{"vleft", records::Encode(left), 0}});
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owner());
  fixture.PumpFor(Millis(50));
  REQUIRE(fixture.member->Owner()->SchedulerState().Listing("left"));
  // No lease of it can last for longer.
  fixture.TickFor(Millis(18'000));
  fixture.PumpFor(Millis(50));
  REQUIRE(fixture.member->Owner());
  CHECK(!fixture.member->Owner()->SchedulerState().Listing("left"));
}

static OwnerRecord MakeVacantRecord(const std::string& successor) {
  OwnerRecord record = CellMemberFixture::MakeRecord("b");
  record.token = 0;
  record.vacant = true;
  record.successor = successor;
  return record;
}

/// After each planned hand-over, the claim waited for a tick and a random
/// delay.
TEST_CASE("an entry that is named as successor claims without a tick") {
  CellMemberFixture fixture;
  fixture.AppendClaimOf("b");
  fixture.Pump();
  fixture.AppendRecord(MakeVacantRecord("a-1"));
  fixture.Pump();
  CHECK(fixture.member->Owns());
  CHECK(fixture.NewestRecord().node == "a");
}

TEST_CASE("an entry that leaves does not claim although it is named") {
  CellMemberFixture fixture;
  fixture.AppendClaimOf("b");
  fixture.Pump();
  net::asio::co_spawn(fixture.context, fixture.member->Leave(Millis(2'000)),
                      net::asio::detached);
  fixture.Pump();
  fixture.AppendRecord(MakeVacantRecord("a-1"));
  fixture.Pump();
  fixture.TickFor(Millis(3'000));
  CHECK(fixture.NewestRecord().vacant);
  CHECK(!fixture.member->Owns());
}

TEST_CASE("an owner that leaves names a candidate as its successor") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.PumpFor(Millis(30));
  OwnerProbe probe;
  probe.incarnation = "b-1";
  REQUIRE(fixture.member->HandleProbe(probe).candidate);
  net::asio::co_spawn(fixture.context, fixture.member->Leave(Millis(2'000)),
                      net::asio::detached);
  fixture.PumpFor(Millis(100));
  REQUIRE(fixture.NewestRecord().vacant);
  CHECK(fixture.NewestRecord().successor == "b-1");
}

// Renewals went on, so no other node took the cell, and no job in it was known.
TEST_CASE("an owner that can't read the journal keeps its cell") {
  CellMemberFixture fixture;
  fixture.store.unreadable_topic = "keyed.jobs";
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.TickFor(Millis(4'000));
  CHECK(fixture.member->Owns());
  fixture.TickFor(Millis(3'000));
  fixture.PumpFor(Millis(50));
  CHECK(!fixture.member->Owns());
  CHECK(fixture.NewestRecord().vacant);
}

/// Guards against a former owner that goes on under its token, and replaces
/// what its successors have recorded of leases, since it has missed their
/// claims: it read the newest record alone, which released the cell.
TEST_CASE("an owner that reads a later owner's release has lost the cell") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.PumpFor(Millis(30));
  const std::int64_t token = fixture.member->KnownOwner()->token;
  fixture.store.watchers_cut = true;
  OwnerRecord released = CellMemberFixture::MakeRecord("b");
  released.token = fixture.AppendClaimOf("b");
  released.vacant = true;
  const std::int64_t release = fixture.AppendRecord(released);
  SECTION("it renews its ownership") {
    fixture.TickFor(kSettings.renewal_interval * 3);
  }
  SECTION("it hands the cell over") {
    net::asio::co_spawn(fixture.context, fixture.member->Yield(Millis(15'000)),
                        net::asio::detached);
    fixture.PumpFor(Millis(500));
  }
  const auto& log = fixture.store.Records(fixture.partition);
  for (auto at = static_cast<std::size_t>(release); at < log.size(); ++at) {
    if (log[at].key != "owner") continue;
    CHECK(ValueOf(records::Decode<OwnerRecord>(log[at].value)).token != token);
  }
}
