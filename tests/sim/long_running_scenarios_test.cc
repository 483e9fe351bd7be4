#include <catch2/catch.hpp>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr std::uint64_t kSeeds = 10;
static constexpr int kNodes = 4;
static constexpr int kCells = 2;
static constexpr int kFullSpeed = 100;
static constexpr Millis kNoDelay(0);
/// Of the 8 cores of a VM. Two short tasks leave too little for a long-running
/// one.
static constexpr std::int64_t kShortCpuMillis = 3'000;
static constexpr std::int64_t kLongRunningCpuMillis = 4'500;
static constexpr Millis kShortTime(1'000);
/// From the end of a run, including the lease of a VM that is gone, until the
/// task has to run again if there is room.
static constexpr Millis kMaxGap(9'000);

static jobs::JobSpec MakeJob(int tasks, std::int64_t cpu_millis, Millis time) {
  jobs::JobSpec spec;
  spec.payload = std::to_string(time.count);
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = tasks;
  step.need = {cpu_millis, 500, 0};
  return spec;
}

static std::string MakeJobId(int cell, int& number) {
  std::string id;
  do {
    id = "job" + std::to_string(number++);
  } while (CellOfJob(id, kCells) != cell);
  return id;
}

/// Submits a little more short work to both cells than their VMs can do.
static void RunOverloaded(SimulatedCell& cell, int& number, Millis duration) {
  constexpr Millis kInterval(200);
  for (Millis spent(0); spent < duration; spent = spent + kInterval) {
    for (int i = 0; i < kCells; ++i)
      cell.Submit(MakeJobId(i, number),
                  MakeJob(2, kShortCpuMillis, kShortTime));
    cell.RunFor(kInterval);
  }
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

/// Guards against long-running tasks that find no place as short ones take all
/// that becomes free, in their own cell and in the host's.
TEST_CASE("a long-running task waits behind short ones in each cell") {
  const std::uint64_t seed = GENERATE(range(std::uint64_t{1}, kSeeds + 1));
  SimulatedCell cell(seed, kNodes, kCells);
  cell.ListVm(cell.StartVm("a", kFullSpeed, 0), kNoDelay);
  const std::string lost = cell.StartVm("b", kFullSpeed, 0);
  cell.ListVm(lost, kNoDelay);
  for (const char* vm : {"c", "d"})
    cell.ListVm(cell.StartVm(vm, kFullSpeed, 1), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(8'000)));
  cell.RunFor(Millis(2'500));
  int number = 0;
  const std::string job = MakeJobId(0, number);
  jobs::JobSpec spec = MakeJob(2, kLongRunningCpuMillis, Millis(0));
  spec.steps[0].long_running = true;
  cell.Submit(job, spec);
  RunOverloaded(cell, number, Millis(4'000));
  REQUIRE(cell.Checker().IsRunning({job, 0, 0, 0}));
  REQUIRE(cell.Checker().IsRunning({job, 0, 0, 1}));
  cell.TerminateVm(lost);
  cell.UnlistVm(lost, kNoDelay);
  RunOverloaded(cell, number, kMaxGap);
  INFO(Report(cell));
  CHECK(cell.Checker().IsRunning({job, 0, 0, 0}));
  CHECK(cell.Checker().IsRunning({job, 0, 0, 1}));
  CHECK(cell.Checker().Violations().empty());
}
