#include <catch2/catch.hpp>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr std::uint64_t kSeed = 5;
static constexpr int kNodes = 4;
static constexpr int kVms = 8;
static constexpr int kFullSpeed = 100;
static constexpr Millis kNoDelay(0);
/// Three crashes, each followed by a restart, and the calls in between.
static constexpr Millis kTimeToGiveUp(25'000);
/// A third start after three crashes is one too many.
static constexpr int kMaxStarts = 5;

static jobs::JobSpec MakeJob(const std::string& payload, int tasks) {
  jobs::JobSpec spec;
  spec.payload = payload;
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = tasks;
  step.need = {700, 500, 0};
  return spec;
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

static void StartCells(SimulatedCell& cell) {
  for (int vm = 0; vm < kVms; ++vm) {
    cell.ListVm(cell.StartVm("vm" + std::to_string(vm), kFullSpeed,
                             vm % cell.CellCount()),
                kNoDelay);
  }
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(8'000)));
  cell.RunFor(Millis(2'500));
}

/// Jobs beside the one that crashes VMs: short tasks, and tasks that last.
static void SubmitOtherJobs(SimulatedCell& cell) {
  for (int job = 0; job < 6; ++job)
    cell.Submit("short" + std::to_string(job), MakeJob("2500", 4));
  jobs::JobSpec lasting = MakeJob("0", 6);
  lasting.steps[0].long_running = true;
  cell.Submit("lasting", lasting);
}

static void CheckOutcome(SimulatedCell& cell) {
  cell.CheckAfterCalm();
  cell.AskState("crashing");
  cell.RunFor(Millis(1'000));
  INFO(Report(cell));
  CHECK(cell.Checker().IsShownAsFailed("crashing"));
  CHECK(cell.Checker().StartsOf({"crashing", 0, 0, 0}) <= kMaxStarts);
  CHECK(cell.Checker().Violations().empty());
}

TEST_CASE("a task that crashes each VM that starts it is given up") {
  SimulatedCell cell(kSeed, kNodes);
  StartCells(cell);
  SubmitOtherJobs(cell);
  cell.Submit("crashing", MakeJob(kCrashPayload, 1));
  cell.RunFor(kTimeToGiveUp);
  CheckOutcome(cell);
}

TEST_CASE("a task that crashes VMs is given up though its owners are killed") {
  SimulatedCell cell(kSeed, kNodes);
  StartCells(cell);
  SubmitOtherJobs(cell);
  cell.Submit("crashing", MakeJob(kCrashPayload, 1));
  for (int kill = 0; kill < 3; ++kill) {
    cell.RunFor(Millis(4'500));
    const int owner = cell.Owner();
    cell.KillNode(owner);
    cell.RunFor(Millis(1'000));
    cell.StartNode(owner);
  }
  cell.RunFor(kTimeToGiveUp);
  CheckOutcome(cell);
}

TEST_CASE("a task that lasts and crashes VMs is given up in each cell") {
  SimulatedCell cell(kSeed, kNodes, 2);
  StartCells(cell);
  jobs::JobSpec spec = MakeJob(kCrashPayload, 1);
  spec.steps[0].long_running = true;
  cell.Submit("crashing", spec);
  cell.RunFor(kTimeToGiveUp);
  CheckOutcome(cell);
}
