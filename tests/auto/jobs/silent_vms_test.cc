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

/// A long task on "vm", which then falls silent; "other" stays.
static void PrepareSilence(SchedulerFixture& fixture) {
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Flush();
  fixture.AddVm("other");
  fixture.scheduler.OnSilent("vm", fixture.now);
}

/// Time from now until `owner`, which reaches only "other", starts the task.
static Millis TimeToStart(SchedulerFixture& fixture, Scheduler& owner) {
  const Millis began = fixture.now;
  while (fixture.now - began < Millis(30'000)) {
    fixture.now = fixture.now + kTick;
    owner.OnReport("other", MakeReport(fixture.now), fixture.now, fixture.now);
    for (const Order& order : owner.Plan(fixture.wall_ms, fixture.now)) {
      if (order.kind == OrderKind::kStart) return fixture.now - began;
    }
  }
  return Millis(30'000);
}

TEST_CASE(
    "a new owner waits no longer for a silent VM than the last one would") {
  SchedulerFixture fixture;
  PrepareSilence(fixture);
  fixture.now = fixture.now + Millis(4'000);
  const std::vector<SilentVm> told =
      fixture.scheduler.TellSilentVms(fixture.now);
  REQUIRE(told.size() == 1);
  const Millis left = told[0].lapse - fixture.now;
  CHECK(left < Millis(1'500));
  // Three owners in a row, each gone before it has reached the VM.
  std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  owner->BoundLapse(told[0]);
  owner = fixture.TakeOver(33);
  owner->BoundLapse(told[0]);
  CHECK(TimeToStart(fixture, *owner) <= left + kTick * 2);
}

TEST_CASE("without such word a new owner waits for the longest lease") {
  SchedulerFixture fixture;
  PrepareSilence(fixture);
  fixture.now = fixture.now + Millis(4'000);
  const std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  CHECK(TimeToStart(fixture, *owner) > fixture.settings.lease);
}

TEST_CASE(
    "a lease that was told to end is not extended until that is revoked") {
  SchedulerFixture fixture;
  PrepareSilence(fixture);
  fixture.now = fixture.now + Millis(1'500);
  const auto told = fixture.scheduler.TellSilentVms(fixture.now);
  REQUIRE(told.size() == 1);
  fixture.scheduler.OnSilentVmsTold(told);
  const RunningRunReport row{{kJob, 0, 0, 0}, 1, "", 100, 0};
  fixture.Report("vm", {row});
  CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) == 0);
  CHECK(fixture.scheduler.TellSilentVms(fixture.now).empty());
  // The record without it may not be in force yet.
  CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) == 0);
  fixture.scheduler.OnSilentVmsTold({});
  CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) > 0);
}

TEST_CASE("a successor does not extend such a lease before its own record") {
  SchedulerFixture fixture;
  PrepareSilence(fixture);
  const std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  owner->BoundLapse({"vm", fixture.now + Millis(5'000)});
  owner->OnReport("vm", MakeReport(fixture.now), fixture.now, fixture.now);
  CHECK(owner->NextDeadline("vm", fixture.now) == 0);
  owner->OnSilentVmsTold({});
  CHECK(owner->NextDeadline("vm", fixture.now) > 0);
}

TEST_CASE("a VM that was silent for a moment only is not told") {
  SchedulerFixture fixture;
  PrepareSilence(fixture);
  fixture.now = fixture.now + Millis(300);
  CHECK(fixture.scheduler.TellSilentVms(fixture.now).empty());
}

TEST_CASE("an owner that has not heard from all VMs does not know all runs") {
  SchedulerFixture fixture;
  PrepareSilence(fixture);
  fixture.Plan();
  CHECK(fixture.scheduler.KnowsAllRuns());
  const std::unique_ptr<Scheduler> owner = fixture.TakeOver(17);
  owner->OnReport("other", MakeReport(fixture.now), fixture.now, fixture.now);
  owner->Plan(fixture.wall_ms, fixture.now);
  CHECK(!owner->KnowsAllRuns());
  owner->OnReport("vm", MakeReport(fixture.now), fixture.now, fixture.now);
  owner->Plan(fixture.wall_ms, fixture.now);
  CHECK(owner->KnowsAllRuns());
}
