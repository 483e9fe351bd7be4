#include "jobs/lease_authority.h"

#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kVms = 4;
static constexpr Millis kTick(100);

static std::string IdOf(int vm) { return "vm" + std::to_string(vm); }

/// An owner of some VMs, whose ownership was renewed when it knew them all.
static void Prepare(SchedulerFixture& fixture) {
  for (int vm = 0; vm < kVms; ++vm) fixture.AddVm(IdOf(vm));
  fixture.now = fixture.now + kTick;
  fixture.scheduler.OnOwnershipRenewed(fixture.now);
}

/// Lets the time go on without a renewal of the ownership, while the first VMs
/// answer.
static void RunWithoutRenewal(SchedulerFixture& fixture, int answering,
                              Millis duration) {
  for (Millis passed; passed < duration; passed = passed + kTick) {
    fixture.now = fixture.now + kTick;
    for (int vm = 0; vm < answering; ++vm) fixture.Report(IdOf(vm), {});
  }
}

/// Guards against a lease that a cut-off owner extends after the time at which
/// a successor counts on its end.
TEST_CASE("without a renewal leases are extended only with most VMs") {
  SchedulerFixture fixture;
  Prepare(fixture);
  const LeaseAuthoritySettings settings;
  SECTION("for a while the renewal suffices") {
    RunWithoutRenewal(fixture, 1, Millis(1'500));
    CHECK(fixture.scheduler.NextDeadline("vm0", fixture.now) > 0);
  }
  SECTION("half of the VMs are too few") {
    RunWithoutRenewal(fixture, kVms / 2, settings.renewal_validity + kTick);
    CHECK(fixture.scheduler.NextDeadline("vm0", fixture.now) == 0);
    fixture.scheduler.OnOwnershipRenewed(fixture.now);
    CHECK(fixture.scheduler.NextDeadline("vm0", fixture.now) > 0);
  }
  SECTION("more than half of them suffice") {
    RunWithoutRenewal(fixture, kVms / 2 + 1, settings.renewal_validity * 4);
    CHECK(fixture.scheduler.NextDeadline("vm0", fixture.now) > 0);
  }
  SECTION("VMs that started after the renewal do not count") {
    fixture.now = fixture.now + kTick;
    for (int vm = kVms; vm < kVms * 4; ++vm) fixture.AddVm(IdOf(vm));
    for (int i = 0; i < 30; ++i) {
      fixture.now = fixture.now + kTick;
      for (int vm = kVms; vm < kVms * 4; ++vm) fixture.Report(IdOf(vm), {});
    }
    CHECK(fixture.scheduler.NextDeadline(IdOf(kVms), fixture.now) == 0);
  }
}

TEST_CASE("VMs count while their deletion from the journal is not durable") {
  LeaseAuthority authority{LeaseAuthoritySettings()};
  authority.OnVmDeleted();
  CHECK(authority.UndurableDeletions() == 1);
  authority.OnBatchTaken();
  authority.OnVmDeleted();
  CHECK(authority.UndurableDeletions() == 2);
  authority.OnBatchDurable();
  CHECK(authority.UndurableDeletions() == 1);
}

TEST_CASE("a successor bounds its predecessor once it has reached most VMs") {
  SchedulerFixture fixture;
  Prepare(fixture);
  const std::unique_ptr<Scheduler> successor = fixture.TakeOver(17);
  const auto report = [&](int vm) {
    VmReport answer;
    answer.clock_ms = fixture.now.count;
    successor->OnReport(IdOf(vm), answer, fixture.now, fixture.now);
  };
  for (int vm = 0; vm < kVms / 2; ++vm) report(vm);
  report(0);
  CHECK(!successor->PredecessorStopsBy());
  report(kVms / 2);
  const LeaseAuthoritySettings settings;
  CHECK(successor->PredecessorStopsBy() ==
        fixture.now + settings.reach_validity);
}
