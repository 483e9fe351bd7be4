#include <catch2/catch.hpp>

#include "auto/jobs/slow_task_cell.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static std::string RackOf(const std::string& vm) { return vm.substr(0, 1); }

TEST_CASE("a slow task of a marked step gets one copy on another rack") {
  SlowTaskCell cell;
  const auto copy = cell.PlanCopy();
  REQUIRE(copy);
  CHECK(copy->task == cell.slow);
  CHECK(copy->run == 2);
  CHECK(RackOf(copy->vm) != RackOf(cell.SlowVm()));
  cell.fixture.Answer(*copy, RunCommandOutcome::kDone);
  CHECK_FALSE(cell.PlanCopy());
  const std::vector<CopyEvent> events = cell.fixture.scheduler.TakeCopyEvents();
  REQUIRE(events.size() == 1);
  CHECK(events[0].copy.first_vm == cell.SlowVm());
  CHECK(events[0].copy.age >= events[0].copy.threshold);
}

TEST_CASE("a task of a step without the mark runs once, however slow it is") {
  SlowTaskCell cell(/*speculative=*/false);
  CHECK_FALSE(cell.PlanCopy());
  CHECK(cell.fixture.scheduler.Copies().started == 0);
}

TEST_CASE("a copy is not sent before the journal lists it") {
  SlowTaskCell cell;
  cell.fixture.now = cell.fixture.now + (kSlowAge - kUsualTime);
  CHECK(cell.fixture.Plan().empty());
  CHECK(cell.fixture.scheduler.HasUrgentChanges());
  CHECK_FALSE(cell.FindCommand(RunCommandKind::kStart));
  cell.fixture.Flush();
  CHECK(cell.FindCommand(RunCommandKind::kStart));
}

TEST_CASE("copies that are refused are not started without end") {
  SlowTaskCell cell(/*speculative=*/true, /*attempts=*/9);
  int copies = 0;
  for (int round = 0; round < 8; ++round) {
    const auto copy = cell.PlanCopy(kCheckInterval);
    if (!copy) continue;
    ++copies;
    cell.fixture.Answer(*copy, RunCommandOutcome::kRefused);
  }
  CHECK(copies <= 2);
}

TEST_CASE("no copy is started while another task waits for capacity") {
  SlowTaskCell cell;
  StepSpec large = SchedulerFixture::MakeStep(1, 32'000);
  large.best_effort = GENERATE(false, true);
  large.need.memory_mib = 128'000;
  cell.fixture.Accept(std::string(16, 'b'), SchedulerFixture::MakeJob({large}));
  CHECK_FALSE(cell.PlanCopy());
  CHECK(cell.fixture.scheduler.Copies().deferred > 0);
}

TEST_CASE("no copy runs on a draining VM or in a closed data center") {
  SlowTaskCell cell;
  for (VmListing& listing : cell.fixture.listings) {
    if (listing.id == cell.SlowVm()) continue;
    listing.draining = true;
    cell.fixture.scheduler.UpsertVm(listing, cell.fixture.now);
  }
  CHECK_FALSE(cell.PlanCopy());
  CHECK(cell.fixture.scheduler.Copies().started == 0);
}

TEST_CASE("a data center that closes before a copy is sent gets no copy") {
  SlowTaskCell cell;
  cell.fixture.now = cell.fixture.now + (kSlowAge - kUsualTime);
  cell.fixture.Plan();
  REQUIRE(cell.fixture.scheduler.Copies().started == 1);
  DataCenterClosures closures;
  closures.Close("", 1);  // All VMs of the fixture are there.
  cell.fixture.scheduler.ApplyClosures(closures);
  cell.fixture.Flush();
  CHECK_FALSE(cell.FindCommand(RunCommandKind::kStart));
  for (const VmListing& listing : cell.fixture.listings) {
    if (listing.id == cell.SlowVm()) continue;
    CHECK(cell.fixture.scheduler.LoadOf(listing.id) == VmLoad::kIdle);
  }
}

TEST_CASE("both runs count towards the limit of tasks per VM") {
  SchedulerFixture fixture;
  const TailController tails{TailControllerSettings{}};
  const DataCenterClosures closures;
  const RunTimes run_times;
  const Placer placer(tails, closures, run_times);
  VmListing listing;
  listing.service = "workers";
  listing.capacity = {16'000, 64'000, 0};
  StepSpec step = SchedulerFixture::MakeStep(2, 1'000);
  step.max_per_vm = 1;
  int run = 0;
  for (const char* id : {"a1", "b1"}) {
    listing.id = id;
    Vm vm(listing);
    vm.Add({{kJob, 0, 0, 0}, ++run}, MakeRunOnVm(step));
    vm.reachable = vm.in_journal = true;
    CHECK_FALSE(placer
                    .SelectPlacement({&vm}, step, "workers", {kJob, 0, 0, 1},
                                     Task{}, fixture.now)
                    .vm);
  }
}
