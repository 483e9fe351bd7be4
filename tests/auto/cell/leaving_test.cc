#include "cell/leaving.h"

#include <catch2/catch.hpp>
#include <optional>

#include "auto/cell/cell_member_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static std::optional<bool> Leave(CellMemberFixture& fixture, Millis limit) {
  std::optional<bool> left;
  std::vector<std::shared_ptr<CellMember>> members(1, fixture.member);
  net::asio::co_spawn(
      fixture.context,
      [&]() -> net::asio::awaitable<void> {
        left = co_await LeaveAll(fixture.context, members, limit);
      },
      net::asio::detached);
  fixture.PumpFor(limit + Millis(100));
  return left;
}

TEST_CASE("an owner leaves its cell at once while the store answers") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  CHECK(Leave(fixture, Millis(300)) == true);
  CHECK(fixture.NewestRecord().vacant);
}

TEST_CASE("leaving ends at its limit while the store confirms nothing") {
  // An entry was killed at the end of its termination grace: it waited for the
  // hand-overs of its cells one after the other.
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.store.newest_unreadable = true;
  fixture.store.on_append_at = [](auto&&...) { return AppendAnswer(); };
  CHECK(Leave(fixture, Millis(250)) == false);
  CHECK(!fixture.member->Owner());
  // The hand-over goes on, and ends before its member does.
  fixture.PumpFor(Millis(600));
}

/// Ticks until the member has sent a claim, and no longer.
static void SendClaim(CellMemberFixture& fixture) {
  const int before = fixture.store.conditional_appends;
  for (int i = 0; i < 100 && fixture.store.conditional_appends == before; ++i)
    fixture.TickFor(Millis(50));
  REQUIRE(fixture.store.conditional_appends == before + 1);
}

static void YieldLater(CellMemberFixture& fixture) {
  net::asio::co_spawn(fixture.context, fixture.member->Yield(Millis(15'000)),
                      net::asio::detached);
}

static constexpr Millis kLeaveLimit(300);

/// The cell had no owner until the owner time-out had passed.
TEST_CASE(
    "a claim that is stored after its entry was told to leave is released") {
  const bool answer_lost = GENERATE(false, true);
  const bool watched = GENERATE(false, true);
  CellMemberFixture fixture;
  fixture.store.watchers_cut = !watched;
  fixture.store.append_answers_held = true;
  fixture.store.on_append_at = [&](const Partition& partition, std::int64_t end,
                                   const std::vector<KeyedRecord>& records) {
    fixture.store.on_append_at = nullptr;
    const AppendAnswer answer = fixture.store.Append(partition, end, records);
    return answer_lost ? AppendAnswer() : answer;
  };
  SECTION("leaving") {
    std::optional<bool> left;
    SendClaim(fixture);
    net::asio::co_spawn(fixture.context, fixture.member->Leave(kLeaveLimit),
                        [&](const std::exception_ptr&) { left = true; });
    fixture.PumpFor(Millis(30));
    CHECK(!left);
    fixture.store.append_answers_held = false;
    fixture.PumpFor(kLeaveLimit);
    CHECK(left);
  }
  SECTION("yielding") {
    SendClaim(fixture);
    YieldLater(fixture);
    fixture.PumpFor(Millis(30));
    fixture.store.append_answers_held = false;
    fixture.PumpFor(kLeaveLimit);
  }
  const OwnerRecord newest = fixture.NewestRecord();
  CHECK(newest.node == "a");
  CHECK(newest.vacant);
  // No owner has started anything under the claim.
  CHECK(newest.journal_complete);
  CHECK(!fixture.member->Owns());
}

TEST_CASE("a claim that is read only after its entry has left is released") {
  CellMemberFixture fixture;
  std::vector<KeyedRecord> claim;
  // The claim is on its way, and is stored once the entry has left.
  fixture.store.on_append_at = [&](auto&&, auto&&, const auto& records) {
    fixture.store.on_append_at = nullptr;
    claim = records;
    return AppendAnswer();
  };
  fixture.store.append_answers_held = true;
  SendClaim(fixture);
  fixture.store.append_answers_held = false;
  CHECK(Leave(fixture, kLeaveLimit) == true);
  fixture.store.Append(fixture.partition, 0, claim);
  fixture.PumpFor(Millis(50));
  CHECK(fixture.NewestRecord().vacant);
  CHECK(!fixture.member->Owns());
}

TEST_CASE("an entry that is told to leave does not send a claim that it made") {
  CellMemberFixture fixture;
  // The order to leave is carried out between the claim's making and sending.
  net::asio::co_spawn(fixture.context, fixture.member->Leave(kLeaveLimit),
                      net::asio::detached);
  for (int i = 0; i < 100; ++i) {
    fixture.clock.Advance(Millis(50));
    fixture.member->Tick(0);
  }
  fixture.PumpFor(kLeaveLimit);
  CHECK(fixture.store.conditional_appends == 0);
}

TEST_CASE("an entry that is told to leave twice releases its cell once") {
  CellMemberFixture fixture;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
  fixture.PumpFor(Millis(30));
  YieldLater(fixture);
  CHECK(Leave(fixture, kLeaveLimit) == true);
  int released = 0;
  for (const KeyedRecord& record : fixture.store.Records(fixture.partition)) {
    const auto decoded = records::Decode<OwnerRecord>(record.value);
    if (record.key == "owner" && ValueOf(decoded).vacant) ++released;
  }
  CHECK(released == 1);
}

/// Such an owner waited for a journal that it does not write, and its successor
/// did not start older jobs before it had heard from all VMs.
TEST_CASE(
    "an owner that leaves before it is ready passes on what it was told") {
  const bool journal_complete = GENERATE(false, true);
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  OwnerRecord previous = CellMemberFixture::MakeRecord("b");
  previous.vacant = true;
  previous.journal_complete = journal_complete;
  previous.unreachable_vms = {{"vm", 10'000}};
  fixture.AppendRecord(previous);
  fixture.Pump();
  fixture.store.unreadable_topic = "keyed.jobs";
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owner());
  REQUIRE(!fixture.member->Owner()->IsReady());
  CHECK(Leave(fixture, Millis(200)) == true);
  const OwnerRecord released = fixture.NewestRecord();
  CHECK(released.node == "a");
  REQUIRE(released.vacant);
  CHECK(released.journal_complete == journal_complete);
  CHECK(released.unreachable_vms.size() == 1);
  CHECK(fixture.vms.renewals.empty());
}
