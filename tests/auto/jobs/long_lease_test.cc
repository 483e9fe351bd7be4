#include <catch2/catch.hpp>
#include <memory>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr Millis kTick(100);
static constexpr Millis kForever(60'000);
/// A successor begins at most this long after the predecessor's last act here.
static constexpr Millis kSlack(600);

static int CountStarts(const std::vector<RunCommand>& commands) {
  int starts = 0;
  for (const RunCommand& command : commands)
    starts += command.kind == RunCommandKind::kStart ? 1 : 0;
  return starts;
}

/// The worker of "vm" starts again under its id. A call that was meant for the
/// former one gives it the longest lease that VMs grant, and the owner starts a
/// run there.
class RestartedVm : public SchedulerFixture {
 public:
  RestartedVm() {
    AddVm("vm");
    RestartWorker("vm");
    ReportNewWorker("vm");
    long_lease_end = now + settings.max_vm_lease;
    Accept(kJob, MakeJob({MakeStep(1, 1'000)}));
    REQUIRE(CountStarts(PlanAndConfirm()) == 1);
    Flush();
    AddVm("other");
  }

  VmReport MakeReport(const std::string& vm) {
    VmReport report;
    report.clock_ms = now.count;
    report.worker_start_ms = 1'600'000'000'000 + (vm == "vm" ? 1'000 : 0);
    if (vm == "vm") report.running = {{{kJob, 0, 0, 0}, 1, "", 100, 0}};
    return report;
  }

  /// Returns when `owner`, which reaches only "other", starts the task there.
  Millis TimeOfStart(Scheduler& owner) {
    const Millis until = now + kForever;
    while (now < until) {
      now = now + kTick;
      owner.NextDeadline("other", now);
      owner.OnReport("other", MakeReport("other"), now, now);
      owner.OnDurable(owner.TakeBatch(wall_ms));
      if (CountStarts(owner.Plan(wall_ms, now)) > 0) return now;
    }
    return until;
  }

  Millis long_lease_end;
};

TEST_CASE("a successor waits for the long lease of a restarted worker") {
  // Seen on days on which VMs restart and the owner is killed: the task ran on
  // the restarted VM and was started a second time.
  RestartedVm cell;
  const auto successor = cell.TakeOver(10'001);
  const Millis taken_over = cell.now;
  successor->BoundInheritedLeases(cell.now);
  const Millis start = cell.TimeOfStart(*successor);
  CHECK(start > cell.long_lease_end);
  // The wait ends with that lease, so that the task is not lost either.
  CHECK(start <= taken_over + cell.settings.max_vm_lease + kSlack);
}

TEST_CASE("a bound of a former worker's lease does not hold for the present") {
  // The owner record that is in force may be from before the restart.
  RestartedVm cell;
  const auto successor = cell.TakeOver(10'001);
  successor->BoundLeaseExpiry({"vm", cell.now + Millis(500), 1});
  CHECK(cell.TimeOfStart(*successor) > cell.long_lease_end);
}

TEST_CASE("a recorded bound of the restarted worker's lease holds") {
  // Else tasks would wait longer than their VM may run them.
  RestartedVm cell;
  cell.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, cell.now);
  cell.now = cell.now + Millis(2'000);
  const auto recorded = cell.scheduler.CollectUnreachableVms(cell.now);
  REQUIRE(recorded.size() == 1);
  cell.now = cell.now + Millis(4'000);
  const auto successor = cell.TakeOver(10'001);
  successor->BoundLeaseExpiry(recorded.front());
  const Millis start = cell.TimeOfStart(*successor);
  CHECK(start > cell.long_lease_end);
  CHECK(start <= cell.long_lease_end + kSlack);
}

TEST_CASE("a long lease outlasts those of a successor that reaches the VM") {
  RestartedVm cell;
  const auto successor = cell.TakeOver(10'001);
  successor->BoundInheritedLeases(cell.now);
  successor->OnReport("vm", cell.MakeReport("vm"), cell.now, cell.now);
  successor->NextDeadline("vm", cell.now);
  successor->OnVmUnreachable("vm", VmOutage::kSilent, cell.now);
  CHECK(cell.TimeOfStart(*successor) > cell.long_lease_end);
}

TEST_CASE("ends under a long lease count for a successor") {
  // They would be taken for ends after a lapse, and the task would run again.
  RestartedVm cell;
  const auto successor = cell.TakeOver(10'001);
  successor->OnReport("vm", cell.MakeReport("vm"), cell.now, cell.now);
  successor->NextDeadline("vm", cell.now);
  cell.now = cell.now + Millis(7'000);
  VmReport report = cell.MakeReport("vm");
  report.running.clear();
  report.ended = {cell.MakeEnd(1, {kJob, 0, 0, 0}, 1, RunEnd::kDone)};
  successor->OnReport("vm", report, cell.now, cell.now);
  successor->OnDurable(successor->TakeBatch(cell.wall_ms));
  CHECK(successor->VisibleStateOf(kJob) == VisibleJobState::kDone);
}

TEST_CASE("a successor does not wait for a long lease that has ended") {
  RestartedVm cell;
  for (Millis passed; passed < cell.settings.lease_duration * 2;
       passed = passed + kTick) {
    cell.now = cell.now + kTick;
    cell.scheduler.NextDeadline("vm", cell.now);
    cell.scheduler.OnReport("vm", cell.MakeReport("vm"), cell.now, cell.now);
  }
  cell.Flush();
  const auto successor = cell.TakeOver(10'001);
  const Millis taken_over = cell.now;
  successor->BoundInheritedLeases(cell.now);
  const Millis start = cell.TimeOfStart(*successor);
  CHECK(start > taken_over + cell.settings.lease_duration);
  CHECK(start <= taken_over + cell.settings.lease_duration + kSlack);
}

TEST_CASE("no run starts on a restarted worker before successors know of it") {
  SchedulerFixture cell;
  cell.AddVm("vm");
  cell.RestartWorker("vm");
  cell.Accept(kJob, cell.MakeJob({cell.MakeStep(1, 1'000)}));
  cell.Report("vm", {});
  cell.Report("vm", {});
  CHECK(cell.scheduler.HasUrgentChanges());
  CHECK_FALSE(cell.scheduler.MaySendStart("vm"));
  CHECK(CountStarts(cell.Plan()) == 0);
  cell.Flush();
  CHECK(cell.scheduler.MaySendStart("vm"));
  CHECK(CountStarts(cell.Plan()) == 1);
}

TEST_CASE("a worker that starts again rejects calls for the former one") {
  // Such a call names the same owner, VM, task and run. One that came after the
  // first report prolonged the lease unnoticed, and its run was unknown.
  SchedulerFixture cell;
  cell.AddVm("vm");
  cell.Accept(kJob, cell.MakeJob({cell.MakeStep(1, 1'000)}));
  const std::int64_t former = cell.scheduler.WorkerGeneration("vm");
  CHECK(cell.scheduler.IsFenced("vm"));
  cell.RestartWorker("vm");
  cell.Report("vm", {});
  cell.Flush();
  CHECK(cell.scheduler.WorkerGeneration("vm") > former);
  // It has not seen the token of its generation yet.
  CHECK_FALSE(cell.scheduler.IsFenced("vm"));
  CHECK_FALSE(cell.scheduler.MaySendStart("vm"));
  CHECK(CountStarts(cell.Plan()) == 0);
  cell.now = cell.now + Millis(2'000);
  cell.Report("vm", {});
  const Millis fenced_at = cell.now;
  cell.Flush();
  CHECK(cell.scheduler.IsFenced("vm"));
  CHECK(CountStarts(cell.PlanAndConfirm()) == 1);
  // Until then, a call for the former worker may have begun the longest lease.
  cell.AddVm("other");
  cell.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, cell.now);
  cell.now = fenced_at + cell.settings.max_vm_lease - kTick;
  CHECK(CountStarts(cell.Plan()) == 0);
  cell.now = cell.now + kSlack;
  CHECK(CountStarts(cell.Plan()) == 1);
}

TEST_CASE("a VM that is listed again is called with a new worker's token") {
  // What was sent before it left the list may reach its next worker.
  SchedulerFixture cell;
  cell.AddVm("vm");
  cell.RestartWorker("vm");
  cell.ReportNewWorker("vm");
  const std::int64_t former = cell.scheduler.WorkerGeneration("vm");
  cell.scheduler.UnlistVm("vm");
  cell.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, cell.now);
  cell.now = cell.now + kForever;
  cell.Plan();
  REQUIRE_FALSE(cell.scheduler.Listing("vm"));
  cell.scheduler.UpsertVm(cell.listings.front(), cell.now);
  CHECK(cell.scheduler.WorkerGeneration("vm") > former);
}
