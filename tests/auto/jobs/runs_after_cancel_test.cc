#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kJob[] = "00000000000000aa";
static constexpr char kVm[] = "a";
static constexpr char kOtherVm[] = "b";
static const TaskRef kTask{kJob, 0, 0, 0};
static constexpr int kSecondTerm = 10'001;

static JobSpec MakeLongRunningJob() {
  StepSpec step = SchedulerFixture::MakeStep(1, 1'000);
  step.long_running = true;
  return SchedulerFixture::MakeJob({step});
}

static RunningRunReport MakeRunning(int run) {
  RunningRunReport row;
  row.task = kTask;
  row.run = run;
  return row;
}

/// Returns the numbers of the task's runs that `commands` stop.
static std::vector<int> StopsIn(const std::vector<RunCommand>& commands) {
  std::vector<int> runs;
  for (const RunCommand& command : commands) {
    if (command.kind == RunCommandKind::kStop && command.task == kTask)
      runs.push_back(command.run);
  }
  return runs;
}

/// A long-running task with one run.
struct RunningTask : SchedulerFixture {
  RunningTask() {
    AddVm(kVm);
    Accept(kJob, MakeLongRunningJob());
    started = PlanAndConfirm();
    REQUIRE(started.size() == 1);
    Flush();
  }

  void Cancel() {
    scheduler.Cancel(kJob, wall_ms);
    Flush();
  }

  std::vector<RunCommand> started;
};

// A VM confirmed the stop, carried out a late start of the run, and the stop
// was not sent again.
TEST_CASE("a run that goes on after its confirmed stop is stopped again") {
  RunningTask cell;
  cell.Cancel();
  REQUIRE(StopsIn(cell.PlanAndConfirm()) == std::vector<int>{1});
  const Millis stopped_by =
      cell.settings.max_stop_duration + cell.settings.stop_margin;
  SECTION("not while it may be stopping") {
    cell.now = cell.now + stopped_by - Millis(100);
    cell.Report(kVm, {MakeRunning(1)});
    CHECK(StopsIn(cell.Plan()).empty());
  }
  SECTION("once it should have stopped") {
    cell.now = cell.now + stopped_by + Millis(1);
    cell.Report(kVm, {MakeRunning(1)});
    CHECK(StopsIn(cell.Plan()) == std::vector<int>{1});
  }
  SECTION("after it was missing from the reports for long") {
    cell.now = cell.now + stopped_by + Millis(1);
    cell.Report(kVm, {});
    cell.now = cell.now + stopped_by;
    cell.Report(kVm, {MakeRunning(1)});
    CHECK(StopsIn(cell.Plan()) == std::vector<int>{1});
  }
}

// The end of the first run, which the VM repeats until it is acknowledged, must
// not release the second one.
TEST_CASE("an end that is repeated after the next start hides no run") {
  RunningTask cell;
  cell.AddVm(kOtherVm);
  const EndedRunReport end =
      SchedulerFixture::MakeEnd(1, kTask, 1, RunEnd::kFailed);
  cell.Report(kVm, {}, {end});
  const std::vector<RunCommand> next = cell.PlanAndConfirm();
  REQUIRE(next.size() == 1);
  cell.Report(next[0].vm, {MakeRunning(2)});
  cell.Report(kVm, {}, {end});
  cell.Flush();
  cell.Report(kVm, {}, {end});
  cell.Cancel();
  CHECK(StopsIn(cell.Plan()) == std::vector<int>{2});
}

// The former owner lost its cell before the journal held the second run, and
// the job was cancelled under the next owner.
TEST_CASE("a run that no journal lists is stopped after a cancel") {
  RunningTask cell;
  cell.AddVm(kOtherVm);
  cell.Report(kVm, {},
              {SchedulerFixture::MakeEnd(1, kTask, 1, RunEnd::kFailed)});
  const std::vector<RunCommand> unjournaled = cell.PlanAndConfirm();
  REQUIRE(unjournaled.size() == 1);
  const auto next = cell.TakeOver(kSecondTerm);
  const auto report = [&](std::vector<RunningRunReport> running) {
    VmReport made;
    made.clock_ms = cell.now.count;
    made.running = std::move(running);
    next->NextDeadline(unjournaled[0].vm, cell.now);
    next->OnReport(unjournaled[0].vm, made, cell.now, cell.now);
  };
  const auto cancel = [&] {
    next->Cancel(kJob, cell.wall_ms);
    next->OnDurable(next->TakeBatch(cell.wall_ms));
  };
  SECTION("reported before the cancel") {
    report({MakeRunning(2)});
    next->OnDurable(next->TakeBatch(cell.wall_ms));
    cancel();
  }
  SECTION("reported while the cancel is written") {
    report({MakeRunning(2)});
    cancel();
  }
  SECTION("reported after the cancel") {
    cancel();
    report({MakeRunning(2)});
  }
  // The journal still lists the first run.
  std::vector<int> stops = StopsIn(next->Plan(cell.wall_ms, cell.now));
  std::sort(stops.begin(), stops.end());
  CHECK(stops == std::vector<int>{1, 2});
}

// The stop was answered before the start had arrived, and the VM carried the
// start out afterwards.
TEST_CASE("a late start is stopped after its job was cancelled") {
  SchedulerFixture cell;
  cell.AddVm(kVm);
  cell.Accept(kJob, MakeLongRunningJob());
  const std::vector<RunCommand> start = cell.Plan();
  REQUIRE(start.size() == 1);
  cell.Flush();
  cell.Answer(start[0], RunCommandOutcome::kUnknown);
  cell.scheduler.Cancel(kJob, cell.wall_ms);
  cell.Flush();
  REQUIRE(StopsIn(cell.PlanAndConfirm()) == std::vector<int>{1});
  for (int seconds = 0; seconds < 4; ++seconds) {
    cell.now = cell.now + Millis(1'000);
    cell.Report(kVm, {});
    cell.Flush();
  }
  cell.Report(kVm, {MakeRunning(1)});
  CHECK(StopsIn(cell.Plan()) == std::vector<int>{1});
}
