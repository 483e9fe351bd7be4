#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kHost = 2;
static constexpr int kHome = 1;
static constexpr char kJob[] = "watch";
/// A VM has room for two of them.
static constexpr std::int64_t kTaskCpuMillis = 7'000;
static const TaskRef kThird{kJob, 0, 0, 2};

static JobSpec MakeLongRunningJob() {
  StepSpec step = SchedulerFixture::MakeStep(3, kTaskCpuMillis);
  step.long_running = true;
  return SchedulerFixture::MakeJob({step});
}

/// Plans and asks for tasks to delegate until the delay has passed.
static std::vector<TaskRef> WaitForTasksToDelegate(SchedulerFixture& fixture) {
  std::vector<TaskRef> tasks;
  for (int i = 0; i < 12; ++i) {
    fixture.PlanAndConfirm();
    fixture.Flush();
    fixture.now = fixture.now + Millis(100);
    tasks = fixture.scheduler.TasksToDelegate(fixture.now);
  }
  return tasks;
}

/// Delegates the task that has no place, and returns what is sent.
static Delegation DelegateThird(SchedulerFixture& home) {
  const std::vector<TaskRef> tasks = WaitForTasksToDelegate(home);
  REQUIRE(tasks == std::vector<TaskRef>{kThird});
  home.scheduler.Delegate(kThird, kHost);
  home.Flush();
  const auto sent = home.scheduler.DelegationsToSend(home.now);
  REQUIRE(sent.size() == 1);
  REQUIRE(sent[0].first == kHost);
  REQUIRE(sent[0].second.tasks.size() == 1);
  Delegation delegation = sent[0].second;
  delegation.record.home_cell = kHome;
  return delegation;
}

static DelegationReport MakeReport(const Delegation& delegation,
                                   DelegationState state, int last_run) {
  DelegationReport report;
  DelegatedTaskReport& row = report.tasks.emplace_back();
  row.index = kThird.index;
  row.state = state;
  row.last_run = last_run;
  row.number = delegation.tasks[0].number;
  return report;
}

/// A home cell whose only VM has room for two of the job's three tasks.
struct HomeFixture : SchedulerFixture {
  HomeFixture() {
    AddVm("a");
    Accept(kJob, MakeLongRunningJob());
  }
};

static int CountStarts(const std::vector<RunCommand>& commands) {
  int starts = 0;
  for (const RunCommand& command : commands)
    starts += command.kind == RunCommandKind::kStart ? 1 : 0;
  return starts;
}

TEST_CASE("a delegation is sent only once the journal holds it") {
  HomeFixture home;
  WaitForTasksToDelegate(home);
  home.scheduler.Delegate(kThird, kHost);
  CHECK(home.scheduler.DelegationsToSend(home.now).empty());
  home.Flush();
  CHECK(home.scheduler.DelegationsToSend(home.now).size() == 1);
}

TEST_CASE("a home cell does not start a task that it has delegated") {
  HomeFixture home;
  DelegateThird(home);
  home.AddVm("b");
  CHECK(CountStarts(home.Plan()) == 0);
  // Nor does its successor.
  auto next = home.TakeOver(10'001);
  next->MarkJournalComplete();
  CHECK(CountStarts(next->Plan(home.wall_ms, home.now)) == 0);
  CHECK(next->DelegationsToSend(home.now).size() == 1);
}

TEST_CASE("a home cell starts a task again once its return is in the journal") {
  HomeFixture home;
  const Delegation delegation = DelegateThird(home);
  home.AddVm("b");
  home.scheduler.OnDelegationReport(
      kJob, kHost, MakeReport(delegation, DelegationState::kReturned, 40'002),
      home.now);
  CHECK(CountStarts(home.Plan()) == 0);
  home.Flush();
  const std::vector<RunCommand> commands = home.Plan();
  REQUIRE(CountStarts(commands) == 1);
  CHECK(commands[0].task == kThird);
  CHECK(commands[0].run > 40'002);
}

TEST_CASE("a report about an earlier delegation of a task is ignored") {
  HomeFixture home;
  const Delegation first = DelegateThird(home);
  const DelegationReport returned =
      MakeReport(first, DelegationState::kReturned, 1);
  home.scheduler.OnDelegationReport(kJob, kHost, returned, home.now);
  home.Flush();
  DelegateThird(home);
  home.scheduler.OnDelegationReport(kJob, kHost, returned, home.now);
  home.Flush();
  home.AddVm("b");
  CHECK(CountStarts(home.Plan()) == 0);
}

TEST_CASE("a task without a place at its host is recalled") {
  HomeFixture home;
  const Delegation delegation = DelegateThird(home);
  const DelegationReport waiting =
      MakeReport(delegation, DelegationState::kWaiting, 0);
  home.scheduler.OnDelegationReport(kJob, kHost, waiting, home.now);
  home.now = home.now + home.settings.max_wait_at_host;
  home.scheduler.OnDelegationReport(kJob, kHost, waiting, home.now);
  const auto sent = home.scheduler.DelegationsToSend(home.now);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.tasks[0].recalled);
}

TEST_CASE("a job that was cancelled recalls its tasks") {
  HomeFixture home;
  DelegateThird(home);
  home.scheduler.Cancel(kJob, home.wall_ms);
  home.Flush();
  home.now = home.now + home.settings.recall_interval;
  const auto sent = home.scheduler.DelegationsToSend(home.now);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.tasks[0].recalled);
}

// Its age counted from 0, so that it ranked behind all jobs of its host.
TEST_CASE("a hosted job is as old as in its home cell") {
  HomeFixture home;
  Delegation delegation = DelegateThird(home);
  SchedulerFixture host;
  const Millis age(1'500);
  delegation.record.accepted_wall_ms = host.wall_ms - age.count;
  host.scheduler.Host(delegation, host.wall_ms, host.now);
  CHECK(host.scheduler.AgeOf(kJob, host.now) == age);
  host.Flush();
  const std::unique_ptr<Scheduler> next = host.TakeOver(1'000);
  CHECK(next->AgeOf(kJob, host.now) == age);
}

TEST_CASE("a host runs the delegated task and no other one of the job") {
  HomeFixture home;
  const Delegation delegation = DelegateThird(home);
  SchedulerFixture host;
  host.AddVm("h");
  host.scheduler.Host(delegation, host.wall_ms, host.now);
  CHECK(CountStarts(host.Plan()) == 0);
  host.Flush();
  const std::vector<RunCommand> commands = host.Plan();
  REQUIRE(CountStarts(commands) == 1);
  CHECK(commands[0].task == kThird);
  CHECK(!host.scheduler.HasJob(kJob));
}

TEST_CASE("a host returns a task only after its run, and for good") {
  HomeFixture home;
  const Delegation delegation = DelegateThird(home);
  SchedulerFixture host;
  host.AddVm("h");
  host.scheduler.Host(delegation, host.wall_ms, host.now);
  host.Flush();
  const std::vector<RunCommand> commands = host.PlanAndConfirm();
  REQUIRE(CountStarts(commands) == 1);
  host.Flush();
  Delegation recall = delegation;
  recall.tasks[0].recalled = true;
  CHECK(host.scheduler.Host(recall, host.wall_ms, host.now).tasks[0].state ==
        DelegationState::kReturning);
  host.Flush();
  host.now = host.now + Millis(200);
  const std::vector<RunCommand> stops = host.PlanAndConfirm();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].kind == RunCommandKind::kStop);
  CHECK(host.scheduler.Host(recall, host.wall_ms, host.now).tasks[0].state ==
        DelegationState::kReturning);
  host.Report("h", {},
              {SchedulerFixture::MakeEnd(1, kThird, commands[0].run,
                                         RunEnd::kStopped)});
  host.Flush();
  const DelegationReport report =
      host.scheduler.Host(recall, host.wall_ms, host.now);
  CHECK(report.tasks[0].state == DelegationState::kReturned);
  CHECK(report.tasks[0].last_run >= commands[0].run);
  // A copy of the delegation that was late.
  host.scheduler.Host(delegation, host.wall_ms, host.now);
  host.Flush();
  CHECK(CountStarts(host.Plan()) == 0);
  // Its successor remembers.
  auto next = host.TakeOver(10'001);
  next->MarkJournalComplete();
  next->Host(delegation, host.wall_ms, host.now);
  CHECK(CountStarts(next->Plan(host.wall_ms, host.now)) == 0);
  // A later delegation counts.
  Delegation again = delegation;
  ++again.tasks[0].number;
  host.scheduler.Host(again, host.wall_ms, host.now);
  host.Flush();
  CHECK(CountStarts(host.Plan()) == 1);
}

TEST_CASE("a successor of a host keeps the run of a delegated task") {
  HomeFixture home;
  const Delegation delegation = DelegateThird(home);
  SchedulerFixture host;
  host.AddVm("h");
  host.scheduler.Host(delegation, host.wall_ms, host.now);
  host.Flush();
  const std::vector<RunCommand> commands = host.PlanAndConfirm();
  REQUIRE(CountStarts(commands) == 1);
  // The start is in no record yet.
  auto next = host.TakeOver(10'001);
  RunningRunReport row;
  row.task = kThird;
  row.run = commands[0].run;
  VmReport report;
  report.clock_ms = host.now.count + 10;
  report.running = {row};
  next->OnReport("h", report, host.now, host.now + Millis(10));
  CHECK(CountStarts(next->Plan(host.wall_ms, host.now + Millis(20))) == 0);
  CHECK(next->Host(delegation, host.wall_ms, host.now).tasks[0].state ==
        DelegationState::kRunning);
}

TEST_CASE(
    "a delegated task that crashes the host's VMs fails its job at home") {
  HomeFixture home;
  const Delegation delegation = DelegateThird(home);
  SchedulerFixture host;
  host.AddVm("h0");
  int starts = 0;
  DelegationReport report;
  for (int round = 1; round <= 10; ++round) {
    report = host.scheduler.Host(delegation, host.wall_ms, host.now);
    host.Flush();
    for (const RunCommand& command : host.PlanAndConfirm()) {
      if (command.kind != RunCommandKind::kStart) continue;
      ++starts;
      host.scheduler.OnVmUnreachable(command.vm, VmOutage::kDisconnected,
                                     host.now);
      host.now = host.now + Millis(3'200);
      host.scheduler.OnVmRestarted(command.vm, host.now, host.now);
    }
    host.AddVm("h" + std::to_string(round));
  }
  CHECK(starts == 3);
  home.scheduler.OnDelegationReport(kJob, kHost, report, home.now);
  home.Flush();
  CHECK(home.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
  // The host gives the task back.
  const auto sent = home.scheduler.DelegationsToSend(home.now + Millis(2'000));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.tasks[0].recalled);
}
