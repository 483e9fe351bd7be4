#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr int kVms = 4;
static constexpr Millis kTimeToRestart(3'200);
static constexpr Millis kTick(100);
/// After three crashes a task may be started twice again, and no more.
static constexpr int kMaxStarts = 5;
static const std::string kOther(16, 'b');

/// VMs whose workers end when a run of the crashing job starts there.
class CrashingVms {
 public:
  explicit CrashingVms(SchedulerFixture& fixture) : fixture_(fixture) {
    for (int vm = 0; vm < kVms; ++vm) Add();
  }

  /// Starts what waits, and lets the crashes of `job` follow. Returns the
  /// number of its starts.
  int StartAndCrash(const std::string& job) {
    int starts = 0;
    for (const RunCommand& command : fixture_.PlanAndConfirm()) {
      if (command.kind != RunCommandKind::kStart) continue;
      if (command.task.job != job) continue;
      ++starts;
      Restart(command.vm);
    }
    fixture_.now = fixture_.now + kTick;
    fixture_.Flush();
    return starts;
  }

  /// The VM's worker ends and starts again, or the VM loses power meanwhile.
  void Restart(const std::string& vm,
               VmOutage outage = VmOutage::kDisconnected) {
    fixture_.scheduler.OnVmUnreachable(vm, outage, fixture_.now);
    fixture_.now = fixture_.now + kTimeToRestart;
    fixture_.scheduler.OnVmRestarted(vm, fixture_.now, fixture_.now);
    fixture_.scheduler.UnlistVm(vm);
    Add();
  }

 private:
  void Add() { fixture_.AddVm("vm" + std::to_string(count_++)); }

  SchedulerFixture& fixture_;
  int count_ = 0;
};

TEST_CASE("a task that crashes each VM that starts it is not started forever") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  int starts = 0;
  for (int round = 0; round < 20; ++round) starts += vms.StartAndCrash(kJob);
  CHECK(starts >= 2);
  CHECK(starts <= kMaxStarts);
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

/// Lets a task be executed for long enough to be cleared.
static void ReportRunning(SchedulerFixture& fixture, const RunCommand& start) {
  for (int report = 0; report < 2; ++report) {
    RunningRunReport row;
    row.task = start.task;
    row.run = start.run;
    row.percent = 100;
    fixture.Report(start.vm, {row});
    fixture.now = fixture.now + Millis(1'500);
  }
}

static RunCommand StartOf(const std::vector<RunCommand>& commands,
                          const std::string& job) {
  for (const RunCommand& command : commands) {
    if (command.kind == RunCommandKind::kStart && command.task.job == job)
      return command;
  }
  FAIL("the job was not started");
  return {};
}

static JobSpec MakeLastingJob(SchedulerFixture& fixture) {
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  return fixture.MakeJob({step});
}

TEST_CASE("a task that lasts and crashes each VM that starts it is given up") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kJob, MakeLastingJob(fixture));
  int starts = 0;
  for (int round = 0; round < 20; ++round) starts += vms.StartAndCrash(kJob);
  CHECK(starts <= kMaxStarts);
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

TEST_CASE("a change of owner does not forget which task crashed VMs") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(vms.StartAndCrash(kJob) == 1);
  REQUIRE(vms.StartAndCrash(kJob) == 1);
  // The owner ends after the third VM has closed the connection.
  const RunCommand third = StartOf(fixture.PlanAndConfirm(), kJob);
  fixture.scheduler.OnVmUnreachable(third.vm, VmOutage::kDisconnected,
                                    fixture.now);
  fixture.Flush();
  const std::unique_ptr<Scheduler> next = fixture.TakeOver(10'001);
  next->OnVmRestarted(third.vm, fixture.now, fixture.now);
  CHECK(next->Plan(fixture.wall_ms, fixture.now).empty());
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

TEST_CASE("a task beside one that crashes VMs is not given up") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kOther, MakeLastingJob(fixture));
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  // Both start together at first.
  const std::vector<RunCommand> first = fixture.PlanAndConfirm();
  const RunCommand crashing = StartOf(first, kJob);
  REQUIRE(StartOf(first, kOther).vm == crashing.vm);
  vms.Restart(crashing.vm);
  for (int crash = 0; crash < 2; ++crash) {
    const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
    const RunCommand again = StartOf(commands, kJob);
    vms.Restart(again.vm);
    if (crash > 0) continue;
    // Alone, so that a crash says which of them it was.
    const RunCommand other = StartOf(commands, kOther);
    CHECK(other.vm != again.vm);
    ReportRunning(fixture, other);
  }
  fixture.Flush();
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
  CHECK(fixture.scheduler.VisibleStateOf(kOther) == VisibleJobState::kRunning);
}

TEST_CASE(
    "a task that has executed for a while is cleared of earlier crashes") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kOther, MakeLastingJob(fixture));
  for (int crash = 0; crash < 10; ++crash) {
    const RunCommand start = StartOf(fixture.PlanAndConfirm(), kOther);
    if (crash % 2 == 1) ReportRunning(fixture, start);
    vms.Restart(start.vm);
    fixture.Flush();
  }
  CHECK(fixture.scheduler.VisibleStateOf(kOther) == VisibleJobState::kRunning);
}

TEST_CASE("VMs that lose power are not held against the tasks on them") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kOther, MakeLastingJob(fixture));
  for (int loss = 0; loss < 10; ++loss) {
    const RunCommand start = StartOf(fixture.PlanAndConfirm(), kOther);
    vms.Restart(start.vm, VmOutage::kSilent);
    fixture.Flush();
  }
  CHECK(fixture.scheduler.VisibleStateOf(kOther) == VisibleJobState::kRunning);
}

TEST_CASE("a VM gets no other runs while one that may crash it begins there") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(vms.StartAndCrash(kJob) == 1);
  const RunCommand again = StartOf(fixture.PlanAndConfirm(), kJob);
  fixture.Accept(kOther, fixture.MakeJob({fixture.MakeStep(12, 4'000)}));
  const std::vector<RunCommand> others = fixture.PlanAndConfirm();
  CHECK(others.size() == 12);
  for (const RunCommand& start : others) CHECK(start.vm != again.vm);
}

static std::vector<CrashSuspect> TakeSuspects(SchedulerFixture& fixture) {
  std::vector<CrashSuspect> suspects;
  for (const VmLoss& loss : fixture.scheduler.TakeVmLosses()) {
    suspects.insert(suspects.end(), loss.suspects.begin(), loss.suspects.end());
  }
  return suspects;
}

// Guards against a job that fails by starts that no VM has carried out.
TEST_CASE(
    "starts that only the next incarnation of a VM has received count "
    "for no crash") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  for (int vm = 0; vm < kVms; ++vm) {
    fixture.Answer(StartOf(fixture.Plan(), kJob),
                   RunCommandOutcome::kRestarted);
    fixture.Flush();
  }
  CHECK(TakeSuspects(fixture).empty());
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kQueued);
  fixture.AddVm("another");
  CHECK(StartOf(fixture.Plan(), kJob).vm == "another");
}

// Guards against suspects among the starts of a plan for one VM: the first
// answer releases all of them, before the others are answered.
TEST_CASE(
    "starts sent with one that the next incarnation has received count "
    "for no crash") {
  SchedulerFixture fixture;
  fixture.AddVm("vm0");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(3, 1'000)}));
  const std::vector<RunCommand> starts = fixture.Plan();
  REQUIRE(starts.size() == 3);
  for (const RunCommand& start : starts)
    fixture.Answer(start, RunCommandOutcome::kRestarted);
  CHECK(TakeSuspects(fixture).empty());
}

// Guards against crashes that are not counted: the first start was not
// answered, so the former incarnation may have carried it out.
TEST_CASE(
    "a start sent again that the next incarnation has received counts "
    "for a crash") {
  SchedulerFixture fixture;
  fixture.AddVm("vm0");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.Answer(StartOf(fixture.Plan(), kJob), RunCommandOutcome::kUnknown);
  // The start is sent again once the journal knows of the first one.
  fixture.Flush();
  fixture.now = fixture.now + fixture.settings.start_retry_interval;
  fixture.Answer(StartOf(fixture.Plan(), kJob), RunCommandOutcome::kRestarted);
  CHECK(TakeSuspects(fixture).size() == 1);
}

// Guards against crashes that are not counted: another run was confirmed
// before the VM received the command.
TEST_CASE(
    "a confirmed run counts for a crash though a later start did not "
    "reach its VM") {
  SchedulerFixture fixture;
  fixture.AddVm("vm0");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.PlanAndConfirm();
  fixture.Accept(kOther, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.Answer(StartOf(fixture.Plan(), kOther),
                 RunCommandOutcome::kRestarted);
  const std::vector<CrashSuspect> suspects = TakeSuspects(fixture);
  REQUIRE(suspects.size() == 1);
  CHECK(suspects[0].task.job == kJob);
}
