#include "jobs/backfill_policy.h"

#include <catch2/catch.hpp>
#include <memory>

#include "wait_replay.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kMaxPlannedStarts = 4;
static constexpr int kSeeds = 2;

static std::map<std::int64_t, Waits> PlaySeeds(WaitReplayLoad load,
                                               int max_planned_starts) {
  std::map<std::int64_t, Waits> all;
  for (load.seed = 1; load.seed <= kSeeds; ++load.seed) {
    for (const auto& [size, waits] :
         WaitReplay(load, max_planned_starts).Play())
      all[size].ms.insert(all[size].ms.end(), waits.ms.begin(), waits.ms.end());
  }
  return all;
}

// Guards against large tasks that wait until no small ones are left.
TEST_CASE("large tasks wait less with planned starts") {
  WaitReplayLoad load;
  load.load = 0.85;
  const Waits before = PlaySeeds(load, 0)[load.large_cpu_millis];
  const Waits after = PlaySeeds(load, kMaxPlannedStarts)[load.large_cpu_millis];
  REQUIRE(before.ms.size() == after.ms.size());
  CHECK(after.Mean() < before.Mean());
  CHECK(after.Quantile(0.95) < before.Quantile(0.95));
  CHECK(after.Quantile(1) < before.Quantile(1));
}

// HARD-LOAD.md, part G, protects large and wide tasks only.
TEST_CASE("planned starts change nothing while no large task waits") {
  WaitReplayLoad load;
  load.load = 0.95;
  load.large_job_share = 0;
  auto before = PlaySeeds(load, 0);
  auto after = PlaySeeds(load, kMaxPlannedStarts);
  for (const auto& [size, waits] : before) CHECK(waits.ms == after[size].ms);
}

namespace {

/// Twelve VMs with 16 cores, each full of runs of 4 cores that take about 1 s.
class FullVms {
 public:
  FullVms() {
    for (int i = 0; i < 20; ++i)
      run_times.Add("short", Millis(i % 2 == 0 ? 900 : 1'100));
    for (int i = 0; i < 20; ++i) run_times.Add("brief", Millis(100));
    for (int number = 0; number < 12; ++number) {
      VmListing listing;
      listing.id = "vm" + std::to_string(number);
      listing.capacity = {16'000, 64'000, 0};
      owned_.push_back(std::make_unique<Vm>(listing));
      owned_.back()->reachable = owned_.back()->in_journal = true;
      vms.push_back(owned_.back().get());
      for (int index = 0; index < 4; ++index)
        AddRun(number, index, now + Millis(10 * number));
    }
  }

  void AddRun(int vm, int index, Millis started_at) {
    RunOnVm run;
    run.charge = {4'000, 1'000, 0};
    run.image = "short";
    run.started_at = started_at;
    vms[vm]->Add({{"full", 0, vm, index}, 1}, run);
    policy.OnStarted(*vms[vm], run, now);
  }

  void PlanLarge(int priority = 1, bool in_turn = true) {
    policy.OnUnplaced({large, large_spec, service, priority, in_turn}, vms,
                      now);
  }

  Vm* PlaceSmall(const char* image, const char* job = "other",
                 bool long_running = false) const {
    StepSpec spec;
    spec.need = {2'000, 1'000, 0};
    spec.image = image;
    spec.long_running = long_running;
    return placer
        .SelectPlacement(vms, spec, service, {job, 0, 0, 0}, Task{}, now)
        .vm;
  }

  static StepSpec MakeLargeSpec() {
    StepSpec spec;
    spec.count = 1;
    spec.need = {12'000, 1'000, 0};
    spec.image = "large";
    return spec;
  }

  Millis now{10'000};
  RunTimes run_times;
  TailController tails{TailControllerSettings{}};
  DataCenterClosures closures;
  Placer placer{tails, closures, run_times};
  BackfillPolicy policy{placer, run_times, kMaxPlannedStarts};
  std::vector<Vm*> vms;
  TaskRef large{"large", 0, 0, 0};
  StepSpec large_spec = MakeLargeSpec();
  std::string service;

 private:
  std::vector<std::unique_ptr<Vm>> owned_;
};

}  // namespace

TEST_CASE("small tasks fill only what a planned start does not need by then") {
  FullVms cell;
  cell.PlanLarge();
  REQUIRE(cell.vms[0]->planned_start);
  CHECK(cell.vms[0]->planned_start->at == cell.now + Millis(1'000));
  CHECK(cell.vms[0]->planned_start->spare.cpu_millis == 0);
  cell.now = cell.now + Millis(500);
  cell.vms[0]->Remove({{"full", 0, 0, 0}, 1});
  CHECK(cell.PlaceSmall("brief") == cell.vms[0]);
  CHECK(cell.PlaceSmall("short") == nullptr);
  CHECK(cell.PlaceSmall("never seen") == nullptr);
  CHECK(cell.PlaceSmall("never seen", "other", /*long_running=*/true) ==
        cell.vms[0]);
  CHECK(cell.PlaceSmall("short", "large") == cell.vms[0]);
}

TEST_CASE("no start is planned for small or deferred tasks") {
  FullVms cell;
  SECTION("small") { cell.large_spec.need.cpu_millis = 4'000; }
  SECTION("long-running") { cell.large_spec.long_running = true; }
  SECTION("best-effort") { cell.large_spec.best_effort = true; }
  SECTION("deferred") {
    cell.PlanLarge(1, /*in_turn=*/false);
    CHECK_FALSE(cell.policy.HasPlannedStart(cell.large));
    return;
  }
  cell.PlanLarge();
  CHECK_FALSE(cell.policy.HasPlannedStart(cell.large));
}

// Guards against capacity that stays reserved for a task that has started, was
// cancelled or has moved.
TEST_CASE("a planned start ends once its task does not wait any more") {
  FullVms cell;
  cell.PlanLarge();
  cell.policy.BeginPlan(cell.vms);
  cell.policy.BeginPriority(1, cell.vms, cell.now);
  CHECK(cell.vms[0]->planned_start);
  cell.policy.BeginPlan(cell.vms);
  cell.policy.BeginPriority(1, cell.vms, cell.now);
  CHECK_FALSE(cell.vms[0]->planned_start);
  CHECK_FALSE(cell.policy.HasPlannedStart(cell.large));
}

TEST_CASE("a planned start does not hold back more urgent tasks") {
  FullVms cell;
  cell.PlanLarge(/*priority=*/2);
  cell.policy.BeginPlan(cell.vms);
  cell.policy.BeginPriority(0, cell.vms, cell.now);
  CHECK_FALSE(cell.vms[0]->planned_start);
  cell.policy.BeginPriority(2, cell.vms, cell.now);
  CHECK(cell.vms[0]->planned_start);
}

// Guards against a start that waits for a VM that has gone.
TEST_CASE("a start is planned on another VM if the chosen one fails") {
  FullVms cell;
  cell.PlanLarge();
  cell.policy.BeginPlan(cell.vms);
  SECTION("unreachable") { cell.vms[0]->reachable = false; }
  SECTION("draining") { cell.vms[0]->listing.draining = true; }
  SECTION("removed") { cell.vms.erase(cell.vms.begin()); }
  cell.policy.BeginPriority(1, cell.vms, cell.now);
  cell.PlanLarge();
  CHECK(cell.vms[cell.vms.size() == 12 ? 1 : 0]->planned_start);
}

TEST_CASE("starts are planned on at most a tenth of the VMs") {
  FullVms cell;
  cell.PlanLarge();
  cell.large.index = 1;
  cell.PlanLarge();
  CHECK_FALSE(cell.policy.HasPlannedStart(cell.large));
}
