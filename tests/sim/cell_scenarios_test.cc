#include <catch2/catch.hpp>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr std::uint64_t kSeed = 1;
static constexpr int kNodes = 3;
static constexpr Millis kNoDelay(0);
static constexpr std::int64_t kVmCpuMillis = 8'000;
/// A node learns of a new VM that much later than others.
static constexpr Millis kSlowDirectory(5'000);
static constexpr Millis kOwnerReplacedAfter(4'000);
/// Leases of earlier owners have expired, and each VM has answered.
static constexpr Millis kAllVmsHeardAfter(18'000);

static jobs::JobSpec MakeJob(Millis first_step, int steps,
                             std::int64_t cpu_millis = 1'000) {
  jobs::JobSpec spec;
  spec.payload = std::to_string(first_step.count);
  for (int step = 0; step < steps; ++step) {
    jobs::StepSpec& made = spec.steps.emplace_back();
    made.count = 1;
    made.need = {cpu_millis, 500, 0};
    if (step > 0) made.dependencies = {step - 1};
  }
  return spec;
}

/// Starts the only VM and waits for an owner that has its answer.
static void StartCell(SimulatedCell& cell, const std::string& first_machine) {
  cell.ListVm(cell.StartVm(first_machine), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(5'000)));
  cell.Submit("first", MakeJob(Millis(100), 1));
  cell.RunFor(Millis(4'000));
  REQUIRE(cell.Checker().StartsOf({"first", 0, 0, 0}) == 1);
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

TEST_CASE(
    "a successor does not start a task again that its predecessor started on a "
    "VM that neither the journal nor the successor's list names") {
  SimulatedCell cell(kSeed, 2);
  StartCell(cell, "a");
  // Each node owns the cell once, so that both have read the list of VMs.
  const int successor = cell.Owner();
  cell.Faults(successor).store = StoreAccess::kSilent;
  cell.RunFor(kOwnerReplacedAfter);
  const int owner = cell.Owner();
  REQUIRE(owner != successor);
  cell.Faults(successor).store = StoreAccess::kNormal;
  cell.RunFor(kAllVmsHeardAfter);

  // No room is left on the only VM.
  cell.Submit("filler", MakeJob(Millis(4'000), 1, kVmCpuMillis));
  cell.RunFor(Millis(500));
  cell.Submit("job", MakeJob(Millis(15'000), 1));
  cell.RunFor(Millis(500));
  REQUIRE(cell.Checker().Accepted().contains("job"));
  REQUIRE(cell.Checker().StartsOf({"job", 0, 0, 0}) == 0);

  cell.Faults(successor).directory_delay = kSlowDirectory;
  cell.Faults(owner).store = StoreAccess::kReadOnly;
  cell.ListVm(cell.StartVm("b"), kNoDelay);
  cell.RunFor(Millis(1'000));
  CHECK(cell.Checker().StartsOf({"job", 0, 0, 0}) == 0);
  cell.RunFor(Millis(10'000));
  INFO(Report(cell));
  CHECK(cell.Checker().Violations().empty());
}

TEST_CASE(
    "a VM that is listed long after a change of owner and never answers does "
    "not delay inherited jobs") {
  SimulatedCell cell(kSeed, kNodes);
  StartCell(cell, "a");
  cell.Submit("job", MakeJob(Millis(12'000), 2));
  cell.RunFor(Millis(1'000));
  const int owner = cell.Owner();
  cell.KillNode(owner);
  cell.RunFor(Millis(500));
  cell.StartNode(owner);
  cell.RunFor(Millis(9'000));
  REQUIRE(cell.IsOwnerReady());
  REQUIRE(cell.Checker().StartsOf({"job", 0, 1, 0}) == 0);
  const std::string mute = cell.StartVm("b");
  cell.TerminateVm(mute);
  cell.ListVm(mute, kNoDelay);
  cell.RunFor(Millis(5'000));
  INFO(Report(cell));
  CHECK(cell.Checker().StartsOf({"job", 0, 1, 0}) == 1);
}
