#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/slow_task_cell.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

TEST_CASE("the first done end counts, and the other run is stopped at once") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  const bool copy_wins = GENERATE(true, false);
  const std::string winner = copy_wins ? copy->vm : cell.SlowVm();
  const std::string loser = copy_wins ? cell.SlowVm() : copy->vm;
  if (copy_wins) {
    cell.End(cell.slow.index, 2, winner, RunEnd::kDone);
  } else {
    cell.running.clear();
    cell.End(cell.slow.index, 1, winner, RunEnd::kDone);
  }
  std::vector<RunCommand> commands = cell.fixture.Plan();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStop);
  CHECK(commands[0].vm == loser);
  // The job's end does not wait for the other run.
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
  CHECK(cell.fixture.scheduler.LoadOf(loser) == VmLoad::kBusy);
  CHECK(cell.fixture.scheduler.Copies().won == (copy_wins ? 1 : 0));
  // The other run ends done, too, after the job was shown as done.
  cell.running.clear();
  cell.End(cell.slow.index, copy_wins ? 1 : 2, loser, RunEnd::kDone);
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.LoadOf(loser) == VmLoad::kIdle);
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
  CHECK(cell.fixture.scheduler.EndToAcknowledge(loser) == cell.last_end[loser]);
}

TEST_CASE("a done end is not acknowledged while a copy may start later") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kUnknown);
  cell.running.clear();
  cell.End(cell.slow.index, 1, cell.SlowVm(), RunEnd::kDone);
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
  const std::int64_t held = cell.last_end[cell.SlowVm()];
  CHECK(cell.fixture.scheduler.EndToAcknowledge(cell.SlowVm()) == held - 1);
  // No batch follows in a quiet cell, so a wait for one would let the VM's
  // lease expire.
  CHECK_FALSE(cell.fixture.scheduler.HasBatch());
  CHECK_FALSE(cell.fixture.scheduler.HasNonDurableEnds(cell.SlowVm()));
  CHECK(cell.fixture.scheduler.HasHeldEnds(cell.SlowVm()));
  const auto stop = cell.FindCommand(RunCommandKind::kStop);
  REQUIRE(stop);
  CHECK(stop->vm == copy->vm);
  SECTION("its stop is confirmed") {
    cell.fixture.Answer(*stop, RunCommandOutcome::kDone);
  }
  SECTION("its VM has restarted") {
    cell.fixture.scheduler.OnVmRestarted(copy->vm, cell.fixture.now,
                                         cell.fixture.now);
  }
  cell.fixture.Plan();
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.EndToAcknowledge(cell.SlowVm()) == held);
}

TEST_CASE("a new owner holds a done end until the copy's VM has answered") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kUnknown);
  cell.running.clear();
  cell.End(cell.slow.index, 1, cell.SlowVm(), RunEnd::kDone);
  cell.fixture.Flush();
  const std::int64_t held = cell.last_end[cell.SlowVm()];

  const auto next = cell.fixture.TakeOver(10'001);
  const auto report = [&](const std::string& vm, std::int64_t first_end) {
    const Millis sent = cell.fixture.now;
    cell.fixture.now = cell.fixture.now + Millis(10);
    VmReport listed;
    listed.clock_ms = cell.fixture.now.count;
    listed.worker_start_ms = 1'600'000'000'000;
    if (first_end > 0) {
      listed.ended = {
          SchedulerFixture::MakeEnd(first_end, cell.slow, 1, RunEnd::kDone)};
    }
    next->OnReport(vm, listed, sent, cell.fixture.now);
    next->OnDurable(next->TakeBatch(cell.fixture.wall_ms));
  };
  report(cell.SlowVm(), held);
  CHECK(next->EndToAcknowledge(cell.SlowVm()) == held - 1);
  // A run of a task that is done is stopped after a change of owner, too.
  const std::vector<RunCommand> commands =
      next->Plan(cell.fixture.wall_ms, cell.fixture.now);
  CHECK(std::any_of(
      commands.begin(), commands.end(), [&](const RunCommand& command) {
        return command.kind == RunCommandKind::kStop && command.vm == copy->vm;
      }));
  report(copy->vm, 0);
  next->Plan(cell.fixture.wall_ms, cell.fixture.now);
  next->OnDurable(next->TakeBatch(cell.fixture.wall_ms));
  CHECK(next->EndToAcknowledge(cell.SlowVm()) == held);
}

TEST_CASE("the other run of a done task is stopped while the job goes on") {
  SlowTaskCell cell(/*speculative=*/true, /*attempts=*/2, /*steps=*/2);
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  cell.End(cell.slow.index, 2, copy->vm, RunEnd::kDone);
  const bool owner_changes = GENERATE(false, true);
  if (owner_changes) cell.fixture.Flush();
  const auto next = cell.fixture.TakeOver(10'001);
  Scheduler& owner = owner_changes ? *next : cell.fixture.scheduler;
  const std::vector<RunCommand> commands =
      owner.Plan(cell.fixture.wall_ms, cell.fixture.now);
  const auto stops = std::count_if(
      commands.begin(), commands.end(), [&](const RunCommand& command) {
        return command.kind == RunCommandKind::kStop && command.run == 1 &&
               command.vm == cell.SlowVm() && command.task == cell.slow;
      });
  CHECK(stops == 1);
  CHECK_FALSE(owner.IsEnded(kJob));
}

TEST_CASE("a new owner reads the end of a copy and stops the first run") {
  SlowTaskCell cell(/*speculative=*/true, /*attempts=*/3, /*steps=*/2);
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  cell.fixture.Flush();
  // The successor learns of both runs, and reads the copy's end.
  const auto next = cell.fixture.TakeOver(10'001);
  const Millis sent = cell.fixture.now;
  cell.fixture.now = cell.fixture.now + Millis(10);
  VmReport listed;
  listed.clock_ms = cell.fixture.now.count;
  listed.worker_start_ms = 1'600'000'000'000;
  listed.ended = {SchedulerFixture::MakeEnd(cell.last_end[copy->vm] + 1,
                                            cell.slow, 2, RunEnd::kDone)};
  next->OnReport(copy->vm, listed, sent, cell.fixture.now);
  const std::vector<RunCommand> commands =
      next->Plan(cell.fixture.wall_ms, cell.fixture.now);
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStop);
  CHECK(commands[0].vm == cell.SlowVm());
  CHECK(commands[0].run == 1);
}

TEST_CASE("a done end of a lapsed lease does not count for a copied task") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  const std::int64_t end = cell.last_end[copy->vm];
  cell.fixture.Report(
      copy->vm, {},
      {SchedulerFixture::MakeEnd(end + 1, cell.slow, 2, RunEnd::kDone),
       SchedulerFixture::MakeEnd(end + 2, {kJob, 0, 0, 0}, 9,
                                 RunEnd::kLapsed)});
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) ==
        VisibleJobState::kRunning);
  CHECK(cell.fixture.scheduler.Copies().won == 0);
}

TEST_CASE("a failed copy counts towards attempts and is not repeated forever") {
  SlowTaskCell cell(/*speculative=*/true, /*attempts=*/2);
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  cell.End(cell.slow.index, 2, copy->vm, RunEnd::kFailed);
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) ==
        VisibleJobState::kRunning);
  // A second failure ends the job, so only the first run may still fail.
  CHECK_FALSE(cell.PlanCopy());
  cell.running.clear();
  cell.End(cell.slow.index, 1, cell.SlowVm(), RunEnd::kFailed);
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) ==
        VisibleJobState::kFailed);
}

TEST_CASE("a copy goes on when the VM of the first run is lost") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  cell.fixture.scheduler.OnVmRestarted(cell.SlowVm(), cell.fixture.now,
                                       cell.fixture.now);
  CHECK_FALSE(cell.FindCommand(RunCommandKind::kStart));
  cell.End(cell.slow.index, 2, copy->vm, RunEnd::kDone);
  cell.fixture.Flush();
  CHECK(cell.fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
}

TEST_CASE("a copy in doubt is not sent again once the task is done") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  cell.fixture.Answer(*copy, RunCommandOutcome::kUnknown);
  cell.running.clear();
  cell.End(cell.slow.index, 1, cell.SlowVm(), RunEnd::kDone);
  for (int round = 0; round < 20; ++round)
    CHECK_FALSE(cell.FindCommand(RunCommandKind::kStart));
}
