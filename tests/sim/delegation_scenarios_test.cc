#include <catch2/catch.hpp>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr std::uint64_t kSeed = 3;
static constexpr int kNodes = 4;
static constexpr int kCells = 2;
static constexpr int kFullSpeed = 100;
static constexpr Millis kNoDelay(0);
static constexpr int kTasks = 4;
/// A VM has room for two of them.
static constexpr std::int64_t kTaskCpuMillis = 3'500;
/// A task that lasts has to run this soon after there is room for it.
static constexpr Millis kMaxGap(3'000);

/// Returns the id of a job whose home is the first cell.
static std::string MakeJobId() {
  int number = 0;
  while (CellOfJob("job" + std::to_string(number), kCells) != 0) ++number;
  return "job" + std::to_string(number);
}

/// One VM in the first cell and two in the second one.
static void StartCells(SimulatedCell& cell) {
  cell.ListVm(cell.StartVm("a", kFullSpeed, 0), kNoDelay);
  cell.ListVm(cell.StartVm("b", kFullSpeed, 1), kNoDelay);
  cell.ListVm(cell.StartVm("c", kFullSpeed, 1), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(8'000)));
  cell.RunFor(Millis(2'500));
}

static void SubmitLongRunningJob(SimulatedCell& cell, const std::string& id) {
  jobs::JobSpec spec;
  spec.payload = "0";
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = kTasks;
  step.need = {kTaskCpuMillis, 500, 0};
  step.long_running = true;
  cell.Submit(id, spec);
}

static int CountRunning(SimulatedCell& cell, const std::string& id) {
  int running = 0;
  for (int index = 0; index < kTasks; ++index)
    running += cell.Checker().IsRunning({id, 0, 0, index}) ? 1 : 0;
  return running;
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

TEST_CASE("tasks that last find room in another cell when their own is full") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string job = MakeJobId();
  SubmitLongRunningJob(cell, job);
  cell.RunFor(kMaxGap);
  INFO(Report(cell));
  CHECK(CountRunning(cell, job) == kTasks);
  CHECK(cell.Checker().Violations().empty());
}

TEST_CASE("delegated tasks outlast the owners of both cells") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string job = MakeJobId();
  SubmitLongRunningJob(cell, job);
  cell.RunFor(kMaxGap);
  REQUIRE(CountRunning(cell, job) == kTasks);
  for (const int owner : {cell.Owner(0), cell.Owner(1)}) cell.KillNode(owner);
  cell.RunFor(Millis(12'000));
  cell.CheckAfterCalm();
  INFO(Report(cell));
  CHECK(CountRunning(cell, job) == kTasks);
  for (int index = 0; index < kTasks; ++index)
    CHECK(cell.Checker().StartsOf({job, 0, 0, index}) == 1);
  CHECK(cell.Checker().Violations().empty());
}

TEST_CASE("a delegated task whose host loses its room runs elsewhere") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string job = MakeJobId();
  SubmitLongRunningJob(cell, job);
  cell.RunFor(kMaxGap);
  REQUIRE(CountRunning(cell, job) == kTasks);
  for (const char* vm : {"b-1", "c-1"}) {
    cell.TerminateVm(vm);
    cell.UnlistVm(vm, kNoDelay);
  }
  cell.ListVm(cell.StartVm("d", kFullSpeed, 0), kNoDelay);
  // The leases of the lost VMs have to expire.
  cell.RunFor(Millis(12'000));
  INFO(Report(cell));
  CHECK(CountRunning(cell, job) == kTasks);
  CHECK(cell.Checker().Violations().empty());
}

TEST_CASE("cancelling a job ends its delegated tasks") {
  SimulatedCell cell(kSeed, kNodes, kCells);
  StartCells(cell);
  const std::string job = MakeJobId();
  SubmitLongRunningJob(cell, job);
  cell.RunFor(kMaxGap);
  REQUIRE(CountRunning(cell, job) == kTasks);
  cell.Cancel(job);
  cell.RunFor(kMaxGap);
  cell.CheckAfterCalm();
  INFO(Report(cell));
  CHECK(CountRunning(cell, job) == 0);
  CHECK(cell.Checker().Violations().empty());
}
