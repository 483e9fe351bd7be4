#include "jobs/late_starts.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static const TaskRef kTask{kJob, 0, 0, 0};
static constexpr Millis kRetry(500);
/// VMs carry out late starts after at most 12 s, by the users' pages.
static constexpr Millis kLatestCopy(12'000);
static constexpr Millis kAfterCopies(13'000);
static constexpr Millis kStopTime(1'500);

namespace {

/// A cell whose only task was started once on "vm", without an answer.
class UnansweredStart : public SchedulerFixture {
 public:
  UnansweredStart() {
    AddVm("vm");
    Accept(kJob, MakeJob({MakeStep(1, 1'000)}));
    const auto first = FindStart();
    REQUIRE(first);
    Flush();
    now = now + Millis(10);
    sent = now;
    Answer(*first, RunCommandOutcome::kUnknown);
  }

  /// Returns the next start that is planned, if there is one.
  std::optional<RunCommand> FindStart() {
    for (const RunCommand& command : Plan()) {
      if (command.kind == RunCommandKind::kStart) return command;
    }
    return std::nullopt;
  }

  /// The repeated start is answered, and its run ends.
  void RepeatAndEnd(RunEnd end) {
    Flush();
    now = now + kRetry;
    const auto again = FindStart();
    REQUIRE(again);
    Answer(*again, RunCommandOutcome::kDone);
    now = now + Millis(300);
    Report("vm", {}, {MakeEnd(1, kTask, 1, end)});
    Flush();
  }

  /// Lets all copies be carried out, and the owner notice it.
  void PassCopies() {
    now = now + kAfterCopies;
    Plan();
    Flush();
  }

  Millis sent;
};

}  // namespace

// TWICE: the end was acknowledged, and a late copy of the start ran the task
// again once the VM's worker had started again.
TEST_CASE("an end is acknowledged only when no copy of its start may come") {
  UnansweredStart cell;
  cell.RepeatAndEnd(RunEnd::kDone);
  CHECK(cell.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 0);
  // Else renewals of the VM's lease would wait for a batch that never comes.
  CHECK_FALSE(cell.scheduler.HasNonDurableEnds("vm"));
  CHECK(cell.scheduler.HasHeldEnds("vm"));
  cell.now = cell.sent + kLatestCopy;
  cell.Plan();
  cell.Flush();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 0);
  cell.PassCopies();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 1);
}

TEST_CASE("an end as failed waits for late copies of its start, too") {
  UnansweredStart cell;
  cell.RepeatAndEnd(RunEnd::kFailed);
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 0);
  cell.PassCopies();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 1);
}

// TWICE: the next owner knew nothing of the unanswered start.
TEST_CASE("a successor holds the ends that late copies may follow") {
  UnansweredStart cell;
  cell.RepeatAndEnd(RunEnd::kDone);
  const auto successor = cell.TakeOver(10'001);
  const Millis taken_over = cell.now;
  const auto report = [&] {
    cell.now = cell.now + Millis(10);
    VmReport listed;
    listed.clock_ms = cell.now.count;
    listed.worker_start_ms = 1'600'000'000'000;
    listed.ended = {cell.MakeEnd(1, kTask, 1, RunEnd::kDone)};
    successor->OnReport("vm", listed, cell.now, cell.now);
    successor->Plan(cell.wall_ms, cell.now);
    successor->OnDurable(successor->TakeBatch(cell.wall_ms));
  };
  report();
  CHECK(successor->EndToAcknowledge("vm") == 0);
  cell.now = taken_over + kAfterCopies;
  report();
  CHECK(successor->EndToAcknowledge("vm") == 1);
}

// TWICE: the owner was killed between the second start and the journal's record
// of the first one.
TEST_CASE("a start is not repeated before the journal knows of the first one") {
  UnansweredStart cell;
  cell.now = cell.now + kRetry;
  const JournalBatch batch = cell.scheduler.TakeBatch(cell.wall_ms);
  CHECK_FALSE(cell.FindStart());
  cell.Write(batch);
  cell.scheduler.OnDurable(batch);
  cell.now = cell.now + kRetry;
  CHECK(cell.FindStart());
}

TEST_CASE("an end is acknowledged at once if its only start was carried out") {
  UnansweredStart cell;
  const bool listed_before = GENERATE(true, false);
  if (listed_before) {
    RunningRunReport row;
    row.task = kTask;
    row.run = 1;
    cell.Report("vm", {row});
  }
  cell.Report("vm", {}, {cell.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  cell.Flush();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 1);
}

// TWICE: the next run was on another VM when a late copy of the start of the
// first one began.
TEST_CASE("a task does not run elsewhere while a copy of its start may come") {
  UnansweredStart cell;
  cell.AddVm("other");
  cell.Flush();
  std::optional<RunCommand> start;
  SECTION("its VM has ended the first run") {
    cell.Answer({RunCommandKind::kStop, "vm", kTask, 1},
                RunCommandOutcome::kDone);
    cell.now = cell.now + kStopTime;
    cell.Report("vm", {});
    start = cell.FindStart();
    REQUIRE(start);
    CHECK(start->vm == "vm");
    CHECK(start->run == 2);
  }
  SECTION("its VM has left") {
    cell.scheduler.UnlistVm("vm");
    cell.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, cell.now);
    for (; cell.now < cell.sent + kLatestCopy; cell.now = cell.now + kRetry) {
      cell.Report("other", {});
      cell.scheduler.NextDeadline("other", cell.now);
      CHECK_FALSE(cell.FindStart());
      cell.Flush();
    }
    cell.now = cell.sent + kAfterCopies;
    start = cell.FindStart();
    REQUIRE(start);
    CHECK(start->vm == "other");
  }
}

TEST_CASE("a late copy that a new worker carries out is stopped") {
  UnansweredStart cell;
  cell.RepeatAndEnd(RunEnd::kDone);
  cell.RestartWorker("vm");
  cell.ReportNewWorker("vm");
  RunningRunReport row;
  row.task = kTask;
  row.run = 1;
  cell.Report("vm", {row});
  cell.now = cell.now + kRetry;
  const std::vector<RunCommand> commands = cell.Plan();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStop);
  // What the former worker listed is not acknowledged to the present one.
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 0);
}

// LOST: a VM lists a limited number of ends, so that held ones hide later ones.
TEST_CASE("ends of a full list are not held any longer") {
  UnansweredStart cell;
  cell.RepeatAndEnd(RunEnd::kDone);
  VmReport full;
  full.clock_ms = cell.now.count;
  full.worker_start_ms = 1'600'000'000'000;
  full.ended = {cell.MakeEnd(1, kTask, 1, RunEnd::kDone)};
  full.may_have_more_ends = true;
  cell.scheduler.OnReport("vm", full, cell.now, cell.now);
  cell.Flush();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 1);
}

/// Lets both members of a gang start, the first one without an answer, and the
/// gang break off.
static void BreakGang(SchedulerFixture& cell) {
  cell.AddVm("vm");
  cell.AddVm("other");
  StepSpec gang = cell.MakeStep(2, 16'000);
  gang.gang = true;
  cell.Accept(kJob, cell.MakeJob({gang}));
  const std::vector<RunCommand> starts = cell.Plan();
  REQUIRE(starts.size() == 2);
  cell.Answer(starts[0], RunCommandOutcome::kUnknown);
  cell.Answer(starts[1], RunCommandOutcome::kDone);
  cell.Flush();
  cell.now = cell.now + kRetry;
  for (const RunCommand& again : cell.Plan())
    cell.Answer(again, RunCommandOutcome::kDone);
  for (const RunCommand& start : starts) {
    cell.Report(start.vm, {},
                {cell.MakeEnd(1, start.task, start.run, RunEnd::kBroken)});
  }
  cell.Flush();
}

// TWICE: a gang started again beside a late copy of a member's first start.
TEST_CASE("a gang does not start while a late start of a member may come") {
  SchedulerFixture cell;
  BreakGang(cell);
  cell.now = cell.now + kLatestCopy - kStopTime;
  CHECK(cell.Plan().empty());
  cell.now = cell.now + kAfterCopies;
  CHECK(cell.Plan().size() == 2);
}

/// Returns the delegation of a job's only task by a cell without VMs.
static Delegation DelegateTask(SchedulerFixture& home) {
  constexpr int kHost = 2;
  home.Accept(kJob, home.MakeJob({home.MakeStep(1, 1'000)}));
  home.Plan();
  home.scheduler.ShortTasksToDelegate(home.now);
  home.now = home.now + kRetry;
  home.Plan();
  for (const TaskRef& task : home.scheduler.ShortTasksToDelegate(home.now))
    home.scheduler.Delegate(task, kHost);
  home.Flush();
  const auto sent = home.scheduler.DelegationsToSend(home.now);
  REQUIRE(sent.size() == 1);
  Delegation delegation = sent[0].second;
  delegation.record.home_cell = 1;
  return delegation;
}

// TWICE: the home cell ran a returned task beside a late start at its host.
TEST_CASE("a host returns a task when no late start of it may come") {
  SchedulerFixture home;
  Delegation wanted = DelegateTask(home);
  SchedulerFixture host;
  host.AddVm("vm");
  const auto state = [&] {
    const auto report = host.scheduler.Host(wanted, host.wall_ms, host.now);
    host.Flush();
    REQUIRE(report.tasks.size() == 1);
    return report.tasks[0].state;
  };
  state();
  const std::vector<RunCommand> starts = host.Plan();
  REQUIRE(starts.size() == 1);
  host.Answer(starts[0], RunCommandOutcome::kUnknown);
  host.Flush();
  wanted.tasks[0].recalled = true;
  state();
  host.now = host.now + kRetry;
  for (const RunCommand& stop : host.Plan()) {
    REQUIRE(stop.kind == RunCommandKind::kStop);
    host.Answer(stop, RunCommandOutcome::kDone);
  }
  host.now = host.now + kStopTime;
  host.Report("vm", {});
  host.Flush();
  CHECK(state() == DelegationState::kReturning);
  host.now = host.now + kAfterCopies;
  host.Plan();
  host.Flush();
  CHECK(state() == DelegationState::kReturned);
}

TEST_CASE("an end of a speculative step does not wait for late starts") {
  SchedulerFixture cell;
  cell.AddVm("vm");
  StepSpec step = cell.MakeStep(1, 1'000);
  step.speculative = true;
  cell.Accept(kJob, cell.MakeJob({step}));
  const std::vector<RunCommand> starts = cell.Plan();
  REQUIRE(starts.size() == 1);
  cell.Answer(starts[0], RunCommandOutcome::kUnknown);
  cell.Flush();
  cell.now = cell.now + kRetry;
  for (const RunCommand& again : cell.Plan())
    cell.Answer(again, RunCommandOutcome::kDone);
  cell.Report("vm", {}, {cell.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  cell.Flush();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 1);
}

// LOST: ends that are held hide nothing of the others of their VM.
TEST_CASE("ends behind a held one count, and their jobs are shown as done") {
  UnansweredStart cell;
  cell.RepeatAndEnd(RunEnd::kDone);
  const std::string later(16, 'b');
  cell.Accept(later, cell.MakeJob({cell.MakeStep(1, 1'000)}));
  REQUIRE(cell.PlanAndConfirm().size() == 1);
  cell.Report("vm", {},
              {cell.MakeEnd(1, kTask, 1, RunEnd::kDone),
               cell.MakeEnd(2, {later, 0, 0, 0}, 1, RunEnd::kDone)});
  cell.Flush();
  CHECK(cell.scheduler.VisibleStateOf(later) == VisibleJobState::kDone);
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 0);
  cell.PassCopies();
  CHECK(cell.scheduler.EndToAcknowledge("vm") == 2);
}

TEST_CASE("late starts are counted by run, and expire with their time") {
  LateStarts starts;
  CHECK(starts.Add("vm", {kTask, 1}, Millis(10)));
  CHECK(starts.Add("vm", {kTask, 2}, Millis(20)));
  CHECK_FALSE(starts.Add("vm", {kTask, 2}, Millis(15)));
  CHECK(starts.RecordsOf("vm").size() == 2);
  CHECK(starts.RecordsOf("v").empty());
  CHECK(starts.RemoveExpired(Millis(10)).empty());
  CHECK(starts.RemoveExpired(Millis(11)) == std::vector<std::string>{"vm"});
  CHECK(starts.MayStart(kTask));
  REQUIRE(starts.OnlyVmOf(kTask));
  CHECK(*starts.OnlyVmOf(kTask) == "vm");
  starts.Add("other", {kTask, 3}, Millis(20));
  CHECK_FALSE(starts.OnlyVmOf(kTask));
  CHECK(starts.RemoveAllOn("other"));
  CHECK_FALSE(starts.RemoveAllOn("other"));
  CHECK(starts.Remove("vm", {kTask, 2}));
  CHECK_FALSE(starts.MayStart(kTask));
  CHECK(starts.Count() == 0);
}
