#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kJob[] = "00000000000000aa";
static const TaskRef kTask{kJob, 0, 0, 0};
static constexpr int kSecondTerm = 17;
static constexpr int kThirdTerm = 33;
static constexpr int kFourthTerm = 49;

static void Report(Scheduler& scheduler, const std::string& vm, Millis now,
                   std::vector<RunningRunReport> running,
                   std::vector<EndedRunReport> ended = {}) {
  VmReport report;
  report.clock_ms = now.count;
  report.running = std::move(running);
  report.ended = std::move(ended);
  scheduler.NextDeadline(vm, now);
  scheduler.OnReport(vm, report, now, now);
}

static RunningRunReport MakeRunning(int run) {
  RunningRunReport row;
  row.task = kTask;
  row.run = run;
  return row;
}

TEST_CASE(
    "an end counts although the journal lists two VMs of earlier owners for "
    "its task") {
  SchedulerFixture fixture;
  fixture.AddVm("a");
  fixture.AddVm("b");
  fixture.Accept(kJob,
                 SchedulerFixture::MakeJob({SchedulerFixture::MakeStep(1, 1)}));
  const std::vector<RunCommand> first = fixture.PlanAndConfirm();
  REQUIRE(first.size() == 1);
  fixture.Flush();
  const std::string other = first[0].vm == "a" ? "b" : "a";

  // The owner of the second term started a run that is in no record. That of
  // the third term finds it, and records it beside the first run.
  const std::unique_ptr<Scheduler> third = fixture.TakeOver(kThirdTerm);
  Report(*third, other, fixture.now, {MakeRunning(kSecondTerm)});
  for (const JournalEntry& entry : third->TakeBatch(fixture.wall_ms).entries)
    fixture.journal[entry.key] = entry.value;

  const std::unique_ptr<Scheduler> fourth = fixture.TakeOver(kFourthTerm);
  Report(*fourth, other, fixture.now, {},
         {SchedulerFixture::MakeEnd(1, kTask, kSecondTerm, RunEnd::kDone)});
  fourth->OnDurable(fourth->TakeBatch(fixture.wall_ms));
  CHECK(fourth->VisibleStateOf(kJob) == VisibleJobState::kDone);
}

TEST_CASE(
    "a run that belongs to no task is charged until it has stopped, also while "
    "the VM lists it neither as running nor as ended") {
  SchedulerFixture fixture;
  fixture.AddVm("a");
  fixture.Report("a", {MakeRunning(1)});
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  // The stop command has been confirmed; stopping takes up to 900 ms.
  fixture.Report("a", {});
  fixture.Accept("other", SchedulerFixture::MakeJob(
                              {SchedulerFixture::MakeStep(1, 16'000)}));
  CHECK(fixture.Plan().empty());
}

namespace {

/// "a" has had a run of a task that this owner has released, and reports again.
struct ReleasedRun : SchedulerFixture {
  ReleasedRun() {
    AddVm("a");
    Accept(kJob, MakeJob({MakeStep(1, 1'000)}));
    const std::vector<RunCommand> commands = Plan();
    REQUIRE(commands.size() == 1);
    start = commands[0];
    Answer(start, RunCommandOutcome::kRefused);
    Flush();
    REQUIRE(scheduler.RunsOf(kJob).empty());
  }

  /// Plans after the retry interval, on a VM that has not refused the task.
  bool StartsAgain() {
    Flush();
    AddVm("b");
    now = now + Millis(1'000);
    return !PlanAndConfirm().empty();
  }

  RunCommand start;
};

}  // namespace

// Guards against a task that runs again after an end as done that was
// acknowledged.
TEST_CASE("an end as done counts although its run was released before") {
  ReleasedRun cell;
  cell.Report("a", {}, {cell.MakeEnd(1, kTask, cell.start.run, RunEnd::kDone)});
  CHECK_FALSE(cell.StartsAgain());
  CHECK(cell.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
  CHECK(cell.scheduler.EndToAcknowledge("a") == 1);
}

// Guards against a job that is shown as done by an end that its VM's lease has
// made void.
TEST_CASE("an end of a released run does not count if a lapse makes it void") {
  ReleasedRun cell;
  const EndedRunReport done =
      cell.MakeEnd(1, kTask, cell.start.run, RunEnd::kDone);
  SECTION("by the VM's list") {
    cell.Report("a", {},
                {done, cell.MakeEnd(2, {"x", 0, 0, 0}, 1, RunEnd::kLapsed)});
  }
  SECTION("by the last deadline") {
    cell.scheduler.OnVmUnreachable("a", VmOutage::kSilent, cell.now);
    cell.now = cell.now + Millis(60'000);
    cell.Plan();
    cell.Report("a", {}, {done});
  }
  SECTION("on the second page of a list") {
    cell.scheduler.OnVmUnreachable("a", VmOutage::kSilent, cell.now);
    cell.now = cell.now + Millis(60'000);
    cell.Plan();
    VmReport first;
    first.clock_ms = cell.now.count;
    first.worker_start_ms = 1'600'000'000'000;
    first.ended = {cell.MakeEnd(1, {"x", 0, 0, 0}, 1, RunEnd::kDone)};
    first.may_have_more_ends = true;
    cell.scheduler.OnReport("a", first, cell.now, cell.now);
    cell.Report("a", {},
                {cell.MakeEnd(2, kTask, cell.start.run, RunEnd::kDone)});
  }
  CHECK(cell.StartsAgain());
}

// Guards against a cancelled job that is shown as done.
TEST_CASE("an end as done of a cancelled job changes nothing") {
  ReleasedRun cell;
  cell.scheduler.Cancel(kJob, cell.wall_ms);
  cell.Report("a", {}, {cell.MakeEnd(1, kTask, cell.start.run, RunEnd::kDone)});
  cell.Flush();
  CHECK(cell.scheduler.VisibleStateOf(kJob) == VisibleJobState::kCancelled);
}
