#include "cell/cell_owner.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/cell/cell_member_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static const ElectionSettings kSettings;
static const std::string kJob(16, 'a');

/// Makes the entry the second owner of the cell.
static void ReplaceOwner(CellMemberFixture& fixture) {
  fixture.AppendClaimOf("b");
  fixture.Pump();
  fixture.peer_reply.kind = ReplyKind::kSteppedDown;
  fixture.BecomeOwner();
  REQUIRE(fixture.member->Owns());
}

TEST_CASE("a run that an owner could not record is not started twice") {
  const int last_run = GENERATE(1, 25, 400);
  CellMemberFixture fixture;
  // The next run was started on "vm", but the owner ended before it could
  // record that.
  fixture.AddJournaledJob(kJob, last_run, "");
  fixture.AddVm("vm", {{{kJob, 0, 0, 0}, last_run + 1, "", 10, 0}});
  fixture.AddVm("other");
  ReplaceOwner(fixture);
  for (int i = 0; i < 10; ++i) {
    fixture.PumpFor(Millis(20));
    fixture.TickFor(Millis(100));
  }
  REQUIRE(fixture.vms.renewals.size() > 2);
  CHECK(fixture.vms.commands.empty());
}

TEST_CASE("an owner that thaws after its expiry sends nothing to VMs") {
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.AddJournaledJob(kJob, 0, "");
  // The entry is frozen while the answer to its first renewal is on its way.
  fixture.vms.before_answer = [&] {
    if (fixture.vms.renewals.size() > 1) return;
    fixture.clock.Advance(kSettings.expiry + Millis(1));
  };
  fixture.BecomeOwner();
  // Timers and answers are handled before the member's next tick.
  fixture.PumpFor(Millis(50));
  CHECK(fixture.vms.renewals.size() == 1);
  CHECK(fixture.vms.commands.empty());
  CHECK(!fixture.member->Owns());
}

TEST_CASE("an owner that has stopped holds no connections to VMs") {
  // Those of former owners took up all connections of the VMs, so that the next
  // owner reached none and ran no accepted job.
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("other");
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(20));
  REQUIRE(fixture.vms.disconnected.empty());
  fixture.clock.Advance(kSettings.expiry + Millis(1));
  fixture.PumpFor(Millis(50));
  REQUIRE(!fixture.member->Owns());
  CHECK(fixture.vms.disconnected.size() == 2);
}

/// The fencing tokens of the renewals since the last call.
static std::vector<std::int64_t> TakeTokens(CellMemberFixture& fixture) {
  std::vector<std::int64_t> tokens;
  for (const Renewal& renewal : fixture.vms.renewals)
    tokens.push_back(renewal.fencing_token);
  fixture.vms.renewals.clear();
  return tokens;
}

TEST_CASE("a worker that has started again gets a higher fencing token") {
  // Else it carries out calls that were meant for the former one.
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.vms.reports["vm"].worker_start_ms = 1;
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(20));
  const std::int64_t former = TakeTokens(fixture).back();
  fixture.vms.reports["vm"].worker_start_ms = 2;
  fixture.PumpFor(Millis(20));
  const std::int64_t present = TakeTokens(fixture).back();
  CHECK(present > former);
  // Each later owner has a higher one.
  ReplaceOwner(fixture);
  fixture.PumpFor(Millis(20));
  CHECK(TakeTokens(fixture).back() > present);
}

TEST_CASE("an owner goes on when a call for a former worker is rejected") {
  // It has raised the token itself. A later owner's would end the ownership.
  const bool restarts = GENERATE(true, false);
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.vms.reports["vm"].worker_start_ms = 1;
  fixture.AddJournaledJob(kJob, 0, "");
  fixture.vms.command_time = Millis(100);
  fixture.vms.command_outcome = jobs::RunCommandOutcome::kStaleToken;
  fixture.BecomeOwner();
  for (int i = 0; i < 50 && fixture.vms.commands.empty(); ++i)
    fixture.PumpFor(Millis(5));
  REQUIRE(fixture.vms.commands.size() == 1);
  if (restarts) fixture.vms.reports["vm"].worker_start_ms = 2;
  fixture.PumpFor(Millis(150));
  CHECK(fixture.member->Owns() == restarts);
}

/// Returns the highest number of a run end that the journal holds.
static std::int64_t NewestJournaledEnd(CellMemberFixture& fixture) {
  std::int64_t newest = 0;
  for (const KeyedRecord& record : fixture.store.Records({"keyed.jobs", 0})) {
    if (!record.key.starts_with('v')) continue;
    const auto decoded = records::Decode<jobs::VmRecord>(record.value);
    newest = std::max(newest, ValueOf(decoded).last_end);
  }
  return newest;
}

/// The drain ran into its limit where runs ended all the time, and the cell was
/// handed over with an incomplete journal.
TEST_CASE("an owner hands its cell over while its VMs go on to report ends") {
  CellMemberFixture fixture;
  fixture.AddVm("even");
  fixture.AddVm("odd");
  // During each append to the journal, one of the VMs reports another end.
  int appends = 0;
  fixture.store.producer_append_time = Millis(10);
  fixture.store.on_append_as = [&] { ++appends; };
  fixture.vms.is_held = [&](const std::string& vm) {
    return (appends % 2 == 0) != (vm == "even");
  };
  std::int64_t ends = 0;
  fixture.vms.before_answer = [&] {
    jobs::EndedRunReport end;
    end.number = ++ends;
    end.task.job = kJob;
    for (auto& [id, report] : fixture.vms.reports) report.ended = {end};
    CHECK(fixture.vms.renewals.back().acknowledged_end <=
          NewestJournaledEnd(fixture));
  };
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(200));
  REQUIRE(fixture.member->Owner());
  REQUIRE(fixture.member->Owner()->IsReady());
  net::asio::co_spawn(fixture.context, fixture.member->Leave(Millis(2'000)),
                      net::asio::detached);
  fixture.PumpFor(Millis(300));
  CHECK(!fixture.member->Owner());
  CHECK(fixture.NewestRecord().vacant);
  CHECK(fixture.NewestRecord().journal_complete);
}

static ReplyKind Ask(CellMemberFixture& fixture, RequestKind kind) {
  JobRequest request;
  request.kind = kind;
  request.job = kJob;
  ReplyKind reply = ReplyKind::kUnavailable;
  net::asio::co_spawn(
      fixture.context,
      [&]() -> net::asio::awaitable<void> {
        reply = (co_await fixture.member->Owner()->Handle(request)).kind;
      },
      net::asio::detached);
  fixture.PumpFor(Millis(50));
  return reply;
}

/// Each cancel added something to write, and so prolonged the drain.
TEST_CASE("an owner that hands its cell over leaves cancels to the next one") {
  CellMemberFixture fixture;
  fixture.AddJournaledJob(kJob, 0, "");
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(50));
  REQUIRE(fixture.member->Owner());
  net::asio::co_spawn(fixture.context,
                      fixture.member->Owner()->Drain(Millis(500)),
                      net::asio::detached);
  fixture.PumpFor(Millis(50));
  CHECK(Ask(fixture, RequestKind::kCancel) == ReplyKind::kNotOwner);
  // The job's progress record makes it a running one, and it is not cancelled.
  CHECK(Ask(fixture, RequestKind::kStatus) == ReplyKind::kRunning);
}

TEST_CASE("an owner goes on to renew leases while it drains") {
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(50));
  REQUIRE(fixture.member->Owner());
  net::asio::co_spawn(fixture.context,
                      fixture.member->Owner()->Drain(Millis(500)),
                      net::asio::detached);
  fixture.PumpFor(Millis(50));
  const std::size_t before = fixture.vms.renewals.size();
  fixture.PumpFor(Millis(700));
  CHECK(fixture.vms.renewals.size() > before);
}

static int CountProgressRecords(CellMemberFixture& fixture) {
  const auto& records = fixture.store.Records({"keyed.jobs", 0});
  return static_cast<int>(std::count_if(
      records.begin(), records.end(),
      [](const auto& record) { return record.key.starts_with('p'); }));
}

// The next owner started the task once more for each crash that was not
// counted.
TEST_CASE("a crash of a VM while its owner drains is not counted") {
  CellMemberFixture fixture;
  fixture.AddVm("vm");
  fixture.AddJournaledJob(kJob, 0, "");
  fixture.BecomeOwner();
  fixture.PumpFor(Millis(100));
  REQUIRE(fixture.vms.commands.size() == 1);
  net::asio::co_spawn(fixture.context,
                      fixture.member->Owner()->Drain(Millis(500)),
                      net::asio::detached);
  fixture.PumpFor(Millis(100));
  const int before = CountProgressRecords(fixture);
  fixture.vms.failure = RenewalFailure::kDisconnected;
  fixture.vms.reports.clear();
  fixture.PumpFor(Millis(400));
  fixture.TickFor(Millis(100));
  fixture.PumpFor(Millis(50));
  CHECK(CountProgressRecords(fixture) > before);
}

// Guards against a VM that is given up by the word of another process at the
// address that it had when the journal was written.
TEST_CASE("an owner goes on to renew a VM that it knows by the journal only") {
  CellMemberFixture fixture;
  const Partition journal{"keyed.jobs", 0};
  jobs::VmRecord record;
  record.address = "vm:1";
  fixture.store.Append(journal, 0, {{"vvm", records::Encode(record), 0}});
  fixture.vms.failure = RenewalFailure::kRestarted;
  fixture.BecomeOwner();
  for (int i = 0; i < 5; ++i) {
    fixture.PumpFor(Millis(300));
    fixture.TickFor(Millis(300));
  }
  CHECK(fixture.vms.renewals.size() > 2);
}
