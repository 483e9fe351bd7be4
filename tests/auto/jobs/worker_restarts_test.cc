#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kFirst(16, 'a');
static const std::string kSecond(16, 'b');
static constexpr Millis kTick(100);
/// A run in neither list of its VM is taken to have ended after this time.
static constexpr Millis kAbsenceTime(1'500);

static RunCommand StartOf(const std::vector<RunCommand>& commands) {
  for (const RunCommand& command : commands) {
    if (command.kind == RunCommandKind::kStart) return command;
  }
  FAIL("nothing was started");
  return {};
}

static int CountStarts(const std::vector<RunCommand>& commands) {
  int starts = 0;
  for (const RunCommand& command : commands)
    starts += command.kind == RunCommandKind::kStart ? 1 : 0;
  return starts;
}

/// Lets a job of one task end on "vm", under the end's number `end`.
static void RunJob(SchedulerFixture& fixture, const std::string& job,
                   std::int64_t end) {
  fixture.Accept(job, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  fixture.Report(start.vm, {},
                 {fixture.MakeEnd(end, start.task, start.run, RunEnd::kDone)});
  fixture.Flush();
}

/// The worker of "vm" has ended a run before it starts again.
static void PrepareRestartedWorker(SchedulerFixture& fixture) {
  fixture.AddVm("vm");
  RunJob(fixture, kFirst, 1);
  REQUIRE(fixture.scheduler.EndToAcknowledge("vm") == 1);
  fixture.now = fixture.now + Millis(60'000);
  fixture.RestartWorker("vm");
  fixture.ReportNewWorker("vm");
}

TEST_CASE("a run that ended done on a worker that started again counts") {
  SchedulerFixture fixture;
  PrepareRestartedWorker(fixture);
  RunJob(fixture, kSecond, 1);
  CHECK(fixture.scheduler.VisibleStateOf(kSecond) == VisibleJobState::kDone);
  fixture.now = fixture.now + kAbsenceTime;
  fixture.Report("vm", {});
  CHECK(CountStarts(fixture.Plan()) == 0);
}

TEST_CASE("ends of a former worker are not acknowledged to the present one") {
  SchedulerFixture fixture;
  PrepareRestartedWorker(fixture);
  CHECK(fixture.scheduler.EndToAcknowledge("vm") == 0);
}

TEST_CASE("a batch of the former worker's ends acknowledges none of the new") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kFirst, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  fixture.Report("vm", {},
                 {fixture.MakeEnd(1, start.task, start.run, RunEnd::kDone)});
  const JournalBatch batch = fixture.scheduler.TakeBatch(fixture.wall_ms);
  fixture.RestartWorker("vm");
  fixture.Report("vm", {});
  fixture.scheduler.OnDurable(batch);
  CHECK(fixture.scheduler.EndToAcknowledge("vm") == 0);
}

TEST_CASE("a late report of the former worker changes nothing") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  RunJob(fixture, kFirst, 1);
  VmReport late;
  late.clock_ms = fixture.now.count;
  late.worker_start_ms = 1;
  late.ended = {fixture.MakeEnd(7, {kFirst, 0, 0, 0}, 1, RunEnd::kFailed)};
  const Millis asked = fixture.now;
  fixture.RestartWorker("vm");
  fixture.ReportNewWorker("vm");
  fixture.Accept(kSecond, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 1);
  for (int report = 0; report < 3; ++report) {
    fixture.now = fixture.now + kAbsenceTime;
    fixture.scheduler.OnReport("vm", late, asked, fixture.now);
  }
  CHECK(CountStarts(fixture.Plan()) == 0);
  CHECK(fixture.scheduler.NewestProcessedEnd("vm") == 0);
}

TEST_CASE("what ran on the former worker is started again at once") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("other");
  fixture.Accept(kFirst, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  fixture.RestartWorker(start.vm);
  fixture.now = fixture.now + kTick;
  fixture.Report(start.vm, {});
  CHECK(CountStarts(fixture.Plan()) == 1);
}

TEST_CASE("a run that the new worker executes is kept") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.RestartWorker("vm");
  // The owner has not heard of the new worker when it starts the run there.
  fixture.Accept(kFirst, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  RunningRunReport row;
  row.task = start.task;
  row.run = start.run;
  fixture.Report("vm", {row});
  CHECK(fixture.Plan().empty());
}

TEST_CASE(
    "a start that may still reach the new worker is stopped there first") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kFirst, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.Plan());
  fixture.Answer(start, RunCommandOutcome::kUnknown);
  fixture.Flush();
  fixture.RestartWorker("vm");
  fixture.AddVm("other");
  fixture.Report("vm", {});
  fixture.now = fixture.now + kTick;
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStop);
  CHECK(commands[0].run == start.run);
  fixture.now = fixture.now + kAbsenceTime;
  fixture.Report("vm", {});
  // The journal has to know of the new worker's lease.
  fixture.Flush();
  // Elsewhere the task might run beside the late start, if the worker starts
  // once more.
  CHECK(StartOf(fixture.Plan()).vm == "vm");
}

TEST_CASE("a successor knows the ends of the worker that the journal names") {
  SchedulerFixture fixture;
  PrepareRestartedWorker(fixture);
  fixture.Accept(kSecond, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  fixture.Flush();
  const std::unique_ptr<Scheduler> next = fixture.TakeOver(10'001);
  fixture.RestartWorker("vm");
  VmReport report;
  report.clock_ms = 10;
  report.worker_start_ms = 1'600'000'002'000;
  next->OnReport("vm", report, fixture.now, fixture.now);
  CHECK(next->NewestProcessedEnd("vm") == 0);
  fixture.now = fixture.now + kTick;
  next->OnReport("vm", report, fixture.now, fixture.now);
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  // The former worker had confirmed the start, and its runs ended with it.
  const std::vector<RunCommand> commands =
      next->Plan(fixture.wall_ms, fixture.now);
  REQUIRE(CountStarts(commands) == 1);
  CHECK(commands[0].task == start.task);
}

TEST_CASE(
    "a successor counts a run of a worker that its journal does not name") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  RunJob(fixture, kFirst, 1);
  fixture.Accept(kSecond, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  // The owner has not heard of the new worker when it starts the run there.
  fixture.RestartWorker("vm");
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  const std::unique_ptr<Scheduler> next = fixture.TakeOver(10'001);
  VmReport report;
  report.clock_ms = 20;
  report.worker_start_ms = 1'600'000'001'000;
  report.ended = {fixture.MakeEnd(1, start.task, start.run, RunEnd::kDone)};
  next->OnReport("vm", report, fixture.now, fixture.now);
  CHECK(CountStarts(next->Plan(fixture.wall_ms, fixture.now)) == 0);
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->VisibleStateOf(kSecond) == VisibleJobState::kDone);
}

TEST_CASE("a new worker may hold a longer lease than its clock shows") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("other");
  fixture.Accept(kFirst, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  fixture.RestartWorker(start.vm);
  // Renewals and starts that were meant for the former worker may have arrived.
  // Their deadlines are cut to the longest lease.
  RunningRunReport row;
  row.task = start.task;
  row.run = start.run;
  fixture.Report(start.vm, {row});
  fixture.scheduler.OnVmUnreachable(start.vm, VmOutage::kSilent, fixture.now);
  fixture.now = fixture.now + Millis(9'000);
  CHECK(CountStarts(fixture.Plan()) == 0);
  fixture.now = fixture.now + Millis(3'000);
  CHECK(CountStarts(fixture.Plan()) == 1);
}

namespace {

/// A job has a run on "vm", and "other" has room for it.
struct RunOnOneVm : SchedulerFixture {
  RunOnOneVm() {
    AddVm("vm");
    Accept(kFirst, MakeJob({MakeStep(1, 1'000)}));
    start = StartOf(PlanAndConfirm());
    Flush();
    AddVm("other");
  }

  RunningRunReport Row() const {
    RunningRunReport row;
    row.task = start.task;
    row.run = start.run;
    return row;
  }

  RunCommand start;
};

}  // namespace

// Guards against runs that are started again while their VM, which lives at
// another address, executes them.
TEST_CASE("421 from an address that only the journal names releases nothing") {
  RunOnOneVm cell;
  // The list of VMs has not been read, and "vm" has another address by now.
  const VmListing present = cell.listings.front();
  cell.listings.erase(cell.listings.begin());
  const auto next = cell.TakeOver(10'001);
  const auto report_other = [&] {
    VmReport report;
    report.clock_ms = cell.now.count;
    report.worker_start_ms = 1'600'000'000'000;
    next->NextDeadline("other", cell.now);
    next->OnReport("other", report, cell.now, cell.now);
    next->OnDurable(next->TakeBatch(cell.wall_ms));
  };
  report_other();
  CHECK_FALSE(next->OnVmRestarted("vm", cell.now, cell.now));
  CHECK(CountStarts(next->Plan(cell.wall_ms, cell.now)) == 0);
  SECTION("the VM has ended while the cell had no owner") {
    // Its lease bounds the wait.
    cell.now = cell.now + cell.settings.max_inherited_lease + kTick;
    report_other();
    CHECK(CountStarts(next->Plan(cell.wall_ms, cell.now)) == 1);
  }
  SECTION("the VM's entry names the address") {
    next->UpsertVm(present, cell.now);
    CHECK(next->OnVmRestarted("vm", cell.now, cell.now));
    CHECK(CountStarts(next->Plan(cell.wall_ms, cell.now)) == 1);
  }
  SECTION("the VM's entry names another address") {
    VmListing moved = present;
    moved.address = "vm:2";
    const Millis sent = cell.now;
    cell.now = cell.now + kTick;
    next->UpsertVm(moved, cell.now);
    CHECK_FALSE(next->OnVmRestarted("vm", sent, cell.now));
    CHECK(CountStarts(next->Plan(cell.wall_ms, cell.now)) == 0);
  }
}

// Guards against runs that are released by the word of a process at an address
// that is no longer the VM's.
TEST_CASE("421 from a former address of the VM releases nothing") {
  RunOnOneVm cell;
  const Millis sent = cell.now;
  cell.now = cell.now + kTick;
  VmListing moved = cell.listings.front();
  moved.address = "vm:2";
  cell.scheduler.UpsertVm(moved, cell.now);
  CHECK_FALSE(cell.scheduler.OnVmRestarted("vm", sent, cell.now));
  CHECK(CountStarts(cell.Plan()) == 0);
  CHECK(cell.scheduler.RunsOf(kFirst).size() == 1);
}

// Guards against runs that are released although the VM has reported them
// since.
TEST_CASE("421 that a later report of the VM has overtaken releases nothing") {
  RunOnOneVm cell;
  const Millis sent = cell.now;
  cell.now = cell.now + kTick;
  cell.Report("vm", {cell.Row()});
  SECTION("of a renewal") {
    CHECK_FALSE(cell.scheduler.OnVmRestarted("vm", sent, cell.now));
  }
  SECTION("of a command") {
    cell.scheduler.OnCommandOutcome(cell.start, RunCommandOutcome::kRestarted,
                                    0, sent, cell.now);
  }
  CHECK(CountStarts(cell.Plan()) == 0);
  CHECK(cell.scheduler.RunsOf(kFirst).size() == 1);
}

// Guards against a lease that counts as expired by another process's clock.
TEST_CASE("the clock in a 421 is not that of the VM") {
  RunOnOneVm cell;
  const Millis sent = cell.now;
  cell.now = cell.now + kTick;
  cell.Report("vm", {cell.Row()});
  const std::int64_t foreign_clock = cell.now.count + 60'000;
  RunCommand stop = cell.start;
  stop.kind = RunCommandKind::kStop;
  cell.scheduler.OnCommandOutcome(stop, RunCommandOutcome::kRestarted,
                                  foreign_clock, sent, cell.now);
  cell.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, cell.now);
  CHECK(CountStarts(cell.Plan()) == 0);
}

// Guards against ends of a new worker that are taken for known ones and are
// acknowledged.
TEST_CASE("a worker that does not name its start is known by its clock") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  RunJob(fixture, kFirst, 1);
  fixture.Accept(kSecond, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const RunCommand start = StartOf(fixture.PlanAndConfirm());
  VmReport report;
  report.ended = {fixture.MakeEnd(1, start.task, start.run, RunEnd::kDone)};
  SECTION("its clock has gone back") {
    report.clock_ms = 1'000;
    fixture.scheduler.OnReport("vm", report, fixture.now, fixture.now);
    fixture.Flush();
    CHECK(fixture.scheduler.VisibleStateOf(kSecond) == VisibleJobState::kDone);
  }
  SECTION("its clock goes on") {
    report.clock_ms = fixture.now.count;
    fixture.scheduler.OnReport("vm", report, fixture.now, fixture.now);
    CHECK(fixture.scheduler.EndToAcknowledge("vm") == 1);
    CHECK(fixture.scheduler.RunsOf(kSecond).size() == 1);
  }
  SECTION("the report was asked for before the clock was read") {
    report.clock_ms = fixture.now.count - 1'000;
    fixture.scheduler.OnReport("vm", report, fixture.now - Millis(1'000),
                               fixture.now);
    CHECK(fixture.scheduler.EndToAcknowledge("vm") == 1);
  }
}
