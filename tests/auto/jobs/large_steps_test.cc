#include <catch2/catch.hpp>
#include <ctime>
#include <string>
#include <vector>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kLarge(16, 'a');
static const std::string kSmall(16, 'b');
static constexpr int kVms = 66;
static constexpr int kTasks = 10'000;
/// An owner whose machine has the smallest share of a core has to renew its
/// VMs' leases before they expire.
static constexpr double kSmallestShare = 0.069;

/// Processor time that a lease leaves to an owner, in ms.
static double LeaseBudgetMs() {
  return static_cast<double>(SchedulerSettings().lease_duration.count) *
         kSmallestShare;
}

static double CpuMs() {
  return 1'000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

static void AddVms(SchedulerFixture& fixture) {
  for (int vm = 0; vm < kVms; ++vm)
    fixture.AddVm("vm" + std::to_string(vm), "r" + std::to_string(vm / 8));
}

static StepSpec MakeLargeStep(std::int64_t cpu_millis) {
  StepSpec step = SchedulerFixture::MakeStep(kTasks, cpu_millis);
  step.need.memory_mib = 10;
  step.max_per_vm = 1'000;
  return step;
}

/// Returns the processor time of a plan, in ms, and adds its commands.
static double TimePlan(SchedulerFixture& fixture,
                       std::vector<RunCommand>& commands) {
  const double before = CpuMs();
  const std::vector<RunCommand> planned = fixture.Plan();
  const double took = CpuMs() - before;
  commands.insert(commands.end(), planned.begin(), planned.end());
  return took;
}

static int CountStartsOf(const std::string& job,
                         const std::vector<RunCommand>& commands) {
  int starts = 0;
  for (const RunCommand& command : commands)
    starts += command.task.job == job ? 1 : 0;
  return starts;
}

// LOST: a gang without room kept each owner of its cell in one plan for longer
// than the leases of its VMs last.
TEST_CASE("plans with a large gang without room are short") {
  SchedulerFixture fixture;
  AddVms(fixture);
  StepSpec gang = MakeLargeStep(250);
  gang.gang = true;
  gang.rack_local = GENERATE(false, true);
  fixture.Accept(kLarge, fixture.MakeJob({gang}));
  fixture.Accept(kSmall, fixture.MakeJob({fixture.MakeStep(2, 1'000)}));
  std::vector<RunCommand> commands;
  CHECK(TimePlan(fixture, commands) < LeaseBudgetMs());
  CHECK(CountStartsOf(kLarge, commands) == 0);
  CHECK(CountStartsOf(kSmall, commands) == 2);
}

// LOST: the same for a gang that has room.
TEST_CASE("the plan that starts a large gang is short") {
  SchedulerFixture fixture;
  AddVms(fixture);
  StepSpec gang = MakeLargeStep(100);
  gang.gang = true;
  fixture.Accept(kLarge, fixture.MakeJob({gang}));
  std::vector<RunCommand> commands;
  CHECK(TimePlan(fixture, commands) < LeaseBudgetMs());
  CHECK(CountStartsOf(kLarge, commands) == kTasks);
}

// LOST: the same for tasks that start one by one.
TEST_CASE("plans with a large step are short and start all that has room") {
  SchedulerFixture fixture;
  AddVms(fixture);
  fixture.Accept(kLarge, fixture.MakeJob({MakeLargeStep(100)}));
  std::vector<RunCommand> commands;
  do {
    const std::size_t before = commands.size();
    CHECK(TimePlan(fixture, commands) < LeaseBudgetMs());
    REQUIRE(commands.size() > before);
  } while (fixture.scheduler.HasMoreToPlan());
  CHECK(CountStartsOf(kLarge, commands) == kTasks);
}

// LOST: the same for long-running tasks, each of which looks for a VM to be
// reserved.
TEST_CASE("plans with many long-running tasks without room are short") {
  SchedulerFixture fixture;
  AddVms(fixture);
  StepSpec step = MakeLargeStep(1'000);
  step.long_running = true;
  fixture.Accept(kLarge, fixture.MakeJob({step}));
  std::vector<RunCommand> commands;
  for (int plan = 0; plan < 20; ++plan) {
    CHECK(TimePlan(fixture, commands) < LeaseBudgetMs());
    fixture.now = fixture.now + Millis(100);
  }
  CHECK(CountStartsOf(kLarge, commands) >= kVms * 16);
}

// LOST: each change of a job was written with all of its tasks.
TEST_CASE("a journal batch holds only the parts of a job that have changed") {
  SchedulerFixture fixture;
  AddVms(fixture);
  fixture.Accept(kLarge, fixture.MakeJob({MakeLargeStep(100)}));
  std::vector<RunCommand> commands;
  do {
    const std::vector<RunCommand> planned = fixture.PlanAndConfirm();
    commands.insert(commands.end(), planned.begin(), planned.end());
  } while (fixture.scheduler.HasMoreToPlan());
  fixture.Flush();
  const RunCommand& last = commands.back();
  fixture.Report(last.vm, {},
                 {fixture.MakeEnd(1, last.task, last.run, RunEnd::kDone)});
  const JournalBatch batch = fixture.scheduler.TakeBatch(fixture.wall_ms);
  // The part of the task, the first part and the VM.
  CHECK(batch.entries.size() <= 3);
  fixture.Write(batch);
  fixture.scheduler.OnDurable(batch);
  const auto successor = fixture.TakeOver(10'001);
  int done = 0;
  int runs = 0;
  for (const RestoredJob& job : successor->RestoredJobs(fixture.now)) {
    done += job.done_tasks;
    runs += job.runs;
  }
  CHECK(done == 1);
  CHECK(runs == kTasks - 1);
}

// Guards against comparing a report with all runs of its VM, run by run.
TEST_CASE("reports of VMs with many runs are processed in a short time") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = SchedulerFixture::MakeStep(kTasks, 1);
  step.need.memory_mib = 0;
  fixture.Accept(kLarge, fixture.MakeJob({step}));
  std::vector<RunningRunReport> running;
  do {
    for (const RunCommand& command : fixture.PlanAndConfirm()) {
      RunningRunReport row;
      row.task = command.task;
      row.run = command.run;
      running.push_back(row);
    }
  } while (fixture.scheduler.HasMoreToPlan());
  REQUIRE(running.size() == kTasks);
  const double before = CpuMs();
  fixture.Report("vm", running);
  CHECK(CpuMs() - before < LeaseBudgetMs());
}

/// Makes the runs of a large job, all confirmed, and returns them.
static std::vector<RunCommand> StartAll(SchedulerFixture& fixture,
                                        std::int64_t cpu_millis) {
  fixture.Accept(kLarge, fixture.MakeJob({MakeLargeStep(cpu_millis)}));
  std::vector<RunCommand> starts;
  do {
    const std::vector<RunCommand> planned = fixture.PlanAndConfirm();
    starts.insert(starts.end(), planned.begin(), planned.end());
  } while (fixture.scheduler.HasMoreToPlan());
  fixture.Flush();
  return starts;
}

// Guards against a successor that restores a large job for longer than leases
// last.
TEST_CASE("a cell with a large job is restored in a short time") {
  SchedulerFixture fixture;
  AddVms(fixture);
  REQUIRE(StartAll(fixture, 100).size() == kTasks);
  const double before = CpuMs();
  const auto successor = fixture.TakeOver(10'001);
  CHECK(CpuMs() - before < LeaseBudgetMs());
  CHECK(successor->Summary(fixture.now).runs == kTasks);
}

// Guards against comparing what has run on a worker that starts again run by
// run.
TEST_CASE("a worker with many runs that starts again is replaced in time") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = SchedulerFixture::MakeStep(kTasks, 1);
  step.need.memory_mib = 0;
  fixture.Accept(kLarge, fixture.MakeJob({step}));
  do {
    fixture.PlanAndConfirm();
  } while (fixture.scheduler.HasMoreToPlan());
  fixture.Flush();
  fixture.now = fixture.now + Millis(1'000);
  fixture.RestartWorker("vm");
  const double before = CpuMs();
  fixture.Report("vm", {});
  CHECK(CpuMs() - before < LeaseBudgetMs());
  CHECK(fixture.scheduler.Summary(fixture.now).runs == 0);
}

// Guards against long plans with tasks that may preempt, or are planned ahead.
TEST_CASE("plans that preempt and plan ahead for a large job are short") {
  SchedulerFixture fixture;
  fixture.settings.preempt = true;
  fixture.settings.max_planned_starts = 4;
  fixture.settings.complete_late_jobs = true;
  AddVms(fixture);
  StepSpec step = MakeLargeStep(9'000);
  step.gang = GENERATE(false, true);
  fixture.Accept(kLarge, fixture.MakeJob({step}));
  for (int small = 0; small < 50; ++small) {
    fixture.Accept(kSmall + std::to_string(small),
                   fixture.MakeJob({fixture.MakeStep(20, 9'000)}));
  }
  const auto owner = fixture.TakeOver(10'001);
  for (int vm = 0; vm < kVms; ++vm) {
    VmReport report;
    report.clock_ms = fixture.now.count;
    report.worker_start_ms = 1'600'000'000'000;
    owner->OnReport("vm" + std::to_string(vm), report, fixture.now,
                    fixture.now);
  }
  owner->OnDurable(owner->TakeBatch(fixture.wall_ms));
  std::size_t starts = 0;
  for (int plan = 0; plan < 20; ++plan) {
    const double before = CpuMs();
    starts += owner->Plan(fixture.wall_ms, fixture.now).size();
    CHECK(CpuMs() - before < LeaseBudgetMs());
    fixture.now = fixture.now + Millis(100);
  }
  CHECK(starts >= kVms);
}

// Guards against comparing each delegated task with all orphaned runs.
TEST_CASE("a delegation of many tasks is served in a short time") {
  SchedulerFixture home;
  home.Accept(kLarge, home.MakeJob({MakeLargeStep(100)}));
  home.Plan();
  home.scheduler.ShortTasksToDelegate(home.now);
  home.now = home.now + Millis(500);
  home.Plan();
  for (const TaskRef& task : home.scheduler.ShortTasksToDelegate(home.now))
    home.scheduler.Delegate(task, 2);
  home.Flush();
  const auto sent = home.scheduler.DelegationsToSend(home.now);
  REQUIRE(sent.size() == 1);
  Delegation recall = sent[0].second;
  REQUIRE(recall.tasks.size() == kTasks);
  recall.record.home_cell = 1;
  for (DelegatedTask& task : recall.tasks) task.recalled = true;
  SchedulerFixture host;
  host.AddVm("vm");
  std::vector<RunningRunReport> unknown(2'000);
  for (std::size_t index = 0; index < unknown.size(); ++index) {
    unknown[index].task = {kSmall, 0, 0, static_cast<int>(index)};
    unknown[index].run = 1;
  }
  host.Report("vm", unknown);
  host.scheduler.Host(recall, host.wall_ms, host.now);
  host.Flush();
  const double before = CpuMs();
  const auto report = host.scheduler.Host(recall, host.wall_ms, host.now);
  CHECK(CpuMs() - before < LeaseBudgetMs());
  CHECK(report.tasks.size() == kTasks);
}
