#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr Millis kTick(100);

static VmReport MakeReport(Millis now) {
  VmReport report;
  report.clock_ms = now.count;
  return report;
}

/// Starts a long-running task on "vm", which then becomes unreachable. The VM
/// "other" stays reachable.
static void PrepareUnreachableVm(SchedulerFixture& fixture) {
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Flush();
  fixture.AddVm("other");
  fixture.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, fixture.now);
}

/// Returns the time until `owner`, which reaches only "other", starts the task.
static Millis TimeUntilStart(SchedulerFixture& fixture, Scheduler& owner) {
  const Millis started_at = fixture.now;
  while (fixture.now - started_at < Millis(30'000)) {
    fixture.now = fixture.now + kTick;
    owner.OnReport("other", MakeReport(fixture.now), fixture.now, fixture.now);
    for (const RunCommand& command : owner.Plan(fixture.wall_ms, fixture.now)) {
      if (command.kind == RunCommandKind::kStart)
        return fixture.now - started_at;
    }
  }
  return Millis(30'000);
}

TEST_CASE(
    "a new owner waits no longer for an unreachable VM than its predecessor "
    "would") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  fixture.now = fixture.now + Millis(4'000);
  const std::vector<UnreachableVm> recorded_vms =
      fixture.scheduler.CollectUnreachableVms(fixture.now);
  REQUIRE(recorded_vms.size() == 1);
  const Millis left = recorded_vms[0].lease_expiry - fixture.now;
  CHECK(left < Millis(1'500));
  // Three owners in a row, each of which ends before it has reached the VM.
  std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  owner->BoundLeaseExpiry(recorded_vms[0]);
  owner = fixture.TakeOver(33);
  owner->BoundLeaseExpiry(recorded_vms[0]);
  CHECK(TimeUntilStart(fixture, *owner) <= left + kTick * 2);
}

TEST_CASE(
    "without a record of unreachable VMs a new owner waits for the longest "
    "lease") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  fixture.now = fixture.now + Millis(4'000);
  const std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  CHECK(TimeUntilStart(fixture, *owner) > fixture.settings.lease_duration);
}

TEST_CASE(
    "a lease with a recorded expiry is not extended before its revocation") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  fixture.now = fixture.now + Millis(1'500);
  const auto recorded_vms =
      fixture.scheduler.CollectUnreachableVms(fixture.now);
  REQUIRE(recorded_vms.size() == 1);
  fixture.scheduler.OnUnreachableVmsRecorded(recorded_vms);
  const RunningRunReport row{{kJob, 0, 0, 0}, 1, "", 100, 0};
  fixture.Report("vm", {row});
  CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) == 0);
  CHECK(fixture.scheduler.CollectUnreachableVms(fixture.now).empty());
  // The record that no longer names the VM may not be in force yet.
  CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) == 0);
  fixture.scheduler.OnUnreachableVmsRecorded({});
  CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) > 0);
}

TEST_CASE(
    "a successor does not extend such a lease before its own record is in "
    "force") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  const std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  owner->BoundLeaseExpiry({"vm", fixture.now + Millis(5'000)});
  owner->OnReport("vm", MakeReport(fixture.now), fixture.now, fixture.now);
  CHECK(owner->NextDeadline("vm", fixture.now) == 0);
  owner->OnUnreachableVmsRecorded({});
  CHECK(owner->NextDeadline("vm", fixture.now) > 0);
}

TEST_CASE("a VM that was unreachable only briefly is not recorded") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  fixture.now = fixture.now + Millis(300);
  CHECK(fixture.scheduler.CollectUnreachableVms(fixture.now).empty());
}

TEST_CASE("the run state is incomplete until all VMs have reported") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  fixture.Plan();
  CHECK(fixture.scheduler.HasCompleteRunState());
  const std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  owner->OnReport("other", MakeReport(fixture.now), fixture.now, fixture.now);
  owner->Plan(fixture.wall_ms, fixture.now);
  CHECK(!owner->HasCompleteRunState());
  owner->OnReport("vm", MakeReport(fixture.now), fixture.now, fixture.now);
  owner->Plan(fixture.wall_ms, fixture.now);
  CHECK(owner->HasCompleteRunState());
}

TEST_CASE("a lease on a slow clock is over when successors count on it") {
  // The VM's clock was read long ago, for example before a freeze.
  const Millis age = GENERATE(Millis(0), Millis(3'000), Millis(12'000));
  const SchedulerSettings settings;
  const Millis read_at(1'000'000);
  const Millis granted_at = read_at + age;
  static constexpr std::int64_t kClockMs = 50'000;
  static constexpr std::int64_t kSpeedPercent = 98;
  Vm vm(VmListing{});
  vm.UpdateClock(kClockMs, read_at, read_at);
  const auto deadline = vm.LeaseDeadline(settings.lease_duration, granted_at);
  REQUIRE(deadline);
  const std::int64_t clock_ms = kClockMs + age.count * kSpeedPercent / 100;
  const Millis lasts((*deadline - clock_ms) * 100 / kSpeedPercent);
  CHECK(lasts <= settings.lease_duration + settings.lease_clock_drift);
}

TEST_CASE("a run whose end a VM could not list yet is not started again") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  const bool new_owner = GENERATE(false, true);
  if (new_owner) fixture.Flush();
  const std::unique_ptr<Scheduler> next = fixture.TakeOver(17);
  Scheduler& owner = new_owner ? *next : fixture.scheduler;
  VmReport report;
  // The store is away, so no end is acknowledged, and the list is full.
  report.ended = {fixture.MakeEnd(1, {"other", 0, 0, 0}, 1, RunEnd::kDone)};
  report.may_have_more_ends = true;
  for (int i = 0; i < 20; ++i) {
    fixture.now = fixture.now + kTick;
    report.clock_ms = fixture.now.count;
    owner.OnReport("vm", report, fixture.now, fixture.now);
    CHECK(owner.Plan(fixture.wall_ms, fixture.now).empty());
  }
  report.ended = {fixture.MakeEnd(2, {kJob, 0, 0, 0}, 1, RunEnd::kDone)};
  report.may_have_more_ends = false;
  owner.OnReport("vm", report, fixture.now, fixture.now);
  owner.OnDurable(owner.TakeBatch(fixture.wall_ms));
  CHECK(owner.VisibleStateOf(kJob) == VisibleJobState::kDone);
}

/// Guards against runs that are started again while a successor, which may have
/// claimed the cell since, renews the lease of their VM.
TEST_CASE(
    "a lease that ends after the last confirmation of the ownership does not "
    "count as expired") {
  SchedulerFixture fixture;
  PrepareUnreachableVm(fixture);
  fixture.scheduler.ConfirmOwnership(fixture.now);
  CHECK(TimeUntilStart(fixture, fixture.scheduler) == Millis(30'000));
  CHECK(fixture.scheduler.AwaitsConfirmation(fixture.now));
  fixture.scheduler.ConfirmOwnership(fixture.now);
  CHECK(TimeUntilStart(fixture, fixture.scheduler) <= kTick);
  CHECK_FALSE(fixture.scheduler.AwaitsConfirmation(fixture.now));
}
