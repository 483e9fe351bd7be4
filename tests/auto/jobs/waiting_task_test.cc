#include "jobs/waiting_task.h"

#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static int Refused(const WaitingTask& waiting, PlacementRefusal refusal) {
  return waiting.options.refused[static_cast<std::size_t>(refusal)];
}

TEST_CASE("a task with a run does not count as waiting") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept("job", fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.PlanAndConfirm();
  CHECK_FALSE(fixture.scheduler.OldestWaitingTask(false, fixture.now));
}

TEST_CASE("a waiting task reports each VM under the rule that excludes it") {
  SchedulerFixture fixture;
  for (const char* id : {"draining", "full", "lost", "small"})
    fixture.AddVm(id);
  StepSpec filling = fixture.MakeStep(4, 16'000);
  filling.max_per_vm = 1;
  fixture.Accept("filling", fixture.MakeJob({filling}));
  REQUIRE(fixture.PlanAndConfirm().size() == 4);
  VmListing draining = fixture.listings[0];
  draining.draining = true;
  fixture.scheduler.UpsertVm(draining, fixture.now);
  fixture.scheduler.OnVmUnreachable("lost", VmOutage::kSilent, fixture.now);
  VmListing small = fixture.listings[3];
  small.capacity.memory_mib = 500;
  fixture.scheduler.UpsertVm(small, fixture.now);
  fixture.Accept("job", fixture.MakeJob({fixture.MakeStep(2, 1'000)}));
  fixture.now = fixture.now + fixture.settings.check_interval;
  fixture.PlanAndConfirm();
  fixture.now = fixture.now + Millis(1'000);
  const auto waiting = fixture.scheduler.OldestWaitingTask(false, fixture.now);
  REQUIRE(waiting);
  CHECK(waiting->task == TaskRef{"job", 0, 0, 0});
  CHECK(waiting->age >= Millis(1'000));
  CHECK(waiting->idle == Millis(1'000));
  CHECK(waiting->may_start);
  CHECK(waiting->options.vms == 4);
  CHECK(waiting->options.open_vms == 0);
  CHECK(Refused(*waiting, PlacementRefusal::kDraining) == 1);
  CHECK(Refused(*waiting, PlacementRefusal::kCapacity) == 1);
  CHECK(Refused(*waiting, PlacementRefusal::kUnreachable) == 1);
  CHECK(Refused(*waiting, PlacementRefusal::kMemory) == 1);
  CHECK_FALSE(fixture.scheduler.OldestWaitingTask(true, fixture.now));
}
