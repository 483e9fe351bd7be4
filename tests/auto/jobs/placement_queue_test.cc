#include "jobs/placement_queue.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "jobs/data_center_closures.h"
#include "jobs/run_times.h"
#include "jobs/tail_controller.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr Millis kNow(50'000);
static constexpr int kSchedules = 300;
static constexpr int kTasks = 40;
static constexpr int kVms = 12;
static const std::string kService = "workers";
static const std::string kJob(16, 'a');

namespace {

/// Random VMs, some of which run or are reserved for something already.
class RandomVms {
 public:
  explicit RandomVms(Random& random) {
    for (int number = 0; number < kVms; ++number) {
      VmListing listing;
      listing.id = "vm" + std::to_string(number);
      listing.service = kService;
      listing.rack = "rack" + std::to_string(number / 3);
      listing.capacity = {static_cast<std::int64_t>(random.Below(9'000)),
                          static_cast<std::int64_t>(random.Below(9'000)), 0};
      Vm& vm = *owned_.emplace_back(std::make_unique<Vm>(listing));
      vm.reachable = vm.in_journal = true;
      vm.known_since = Millis(1);
      vms.push_back(&vm);
      if (random.Chance(0.3)) AddRun(vm, random);
      if (random.Chance(0.3)) {
        const TaskRef task{kJob, 0, static_cast<int>(random.Below(2)),
                           static_cast<int>(random.Below(kTasks))};
        vm.reservation = Reservation{
            task, {100, 100, 0}, kNow + Millis(1), random.Chance(0.5)};
      }
    }
  }

  std::vector<Vm*> vms;

 private:
  static void AddRun(Vm& vm, Random& random) {
    StepSpec step;
    step.need = {static_cast<std::int64_t>(random.Below(2'000)), 100, 0};
    step.image = "other";
    if (random.Chance(0.5)) step.tail_target_ms = 100;
    if (random.Chance(0.3)) step.best_effort = true;
    vm.Add({{"other", 0, 0, 0}, 1}, MakeRunOnVm(step));
  }

  std::vector<std::unique_ptr<Vm>> owned_;
};

}  // namespace

static StepSpec MakeRandomStep(Random& random) {
  StepSpec step;
  step.count = kTasks;
  step.need = {static_cast<std::int64_t>(random.Below(1'500)),
               static_cast<std::int64_t>(random.Below(1'500)), 0};
  step.image = "image";
  step.best_effort = random.Chance(0.4);
  step.long_running = random.Chance(0.3);
  if (random.Chance(0.3))
    step.max_per_vm = 1 + static_cast<int>(random.Below(4));
  if (random.Chance(0.3)) step.data_rack = "rack1";
  return step;
}

static Task MakeRandomTask(Random& random) {
  Task task;
  while (random.Chance(0.3))
    task.failed_on.push_back("vm" + std::to_string(random.Below(kVms)));
  if (random.Chance(0.1)) task.crashes = 1;
  return task;
}

// LOST: owners compared each task of a step on all VMs, for seconds on end.
TEST_CASE("a placement queue selects the same VMs as comparing all of them") {
  const TailController tails{TailControllerSettings{}};
  const DataCenterClosures closures;
  const RunTimes run_times;
  const Placer placer(tails, closures, run_times);
  for (int seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const RandomVms cell(random);
    const StepSpec step = MakeRandomStep(random);
    TaskRef ref{kJob, 0, 0, 0};
    PlacementQueue queue(placer, cell.vms, step, kService, ref, kNow);
    for (; ref.index < kTasks; ++ref.index) {
      const Task task = MakeRandomTask(random);
      const Placement expected =
          placer.SelectPlacement(cell.vms, step, kService, ref, task, kNow);
      const Placement selected = queue.Select(ref, task);
      REQUIRE(selected.vm == expected.vm);
      if (!selected.vm) continue;
      REQUIRE(selected.pace_percent == expected.pace_percent);
      selected.vm->Add({ref, 1}, MakeRunOnVm(step));
      queue.Update(*selected.vm);
    }
  }
}
