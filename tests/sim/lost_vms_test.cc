// Long-running tasks whose VMs are lost for good at about the time at which the
// owner of their cell is.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr int kNodes = 4;
static constexpr int kVms = 6;
static constexpr int kTasks = 6;
static constexpr Millis kNoDelay(0);
/// A new machine replaces a lost one after this time, which ends the trouble.
static constexpr Millis kReplacement(1'000);
/// The users' bound: a task has to run again within 3 s that are calm, as the
/// 4 s before them are, which begin kContactTime after the trouble.
static constexpr Millis kMaxGap =
    kReplacement + kContactTime + Millis(4'000) + Millis(3'000);
/// VMs leave the platform's list after three intervals of check-ins.
static constexpr Millis kUnlistDelay(3'300);
/// Enough after the bound for a late second run of a task to show.
static constexpr Millis kAfterwards(15'000);

static std::uint64_t FromEnvironment(const char* name, std::uint64_t other) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : other;
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

/// A cell with a job of tasks that last, two cores each, spread over its VMs.
static void Prepare(SimulatedCell& cell) {
  for (int vm = 0; vm < kVms; ++vm)
    cell.ListVm(cell.StartVm("vm" + std::to_string(vm)), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(10'000)));
  cell.RunFor(Millis(3'000));
  jobs::JobSpec spec;
  spec.payload = "0";
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = kTasks;
  step.need = {2'000, 500, 0};
  step.long_running = true;
  cell.Submit("job", spec);
  cell.RunFor(Millis(3'000));
}

static bool AllRun(SimulatedCell& cell) {
  for (int task = 0; task < kTasks; ++task) {
    if (!cell.Checker().IsRunning({"job", 0, 0, task})) return false;
  }
  return true;
}

/// The machine of the node is lost for good: connections to it time out.
static void LoseMachine(SimulatedCell& cell, int node) {
  cell.Faults(node).peers_cut = true;
  cell.KillNode(node);
}

/// The first VMs of the cell are lost for good. Returns their ids.
static std::vector<std::string> LoseVms(SimulatedCell& cell) {
  std::vector<std::string> vms = cell.Vms();
  vms.resize(2);
  for (const std::string& vm : vms) cell.TerminateVm(vm);
  return vms;
}

static void UnlistVms(SimulatedCell& cell,
                      const std::vector<std::string>& vms) {
  for (const std::string& vm : vms) cell.UnlistVm(vm, Millis(500));
}

/// Calls `check` with a prepared cell for each of some seeds.
template <class Check>
static void ForEachSeed(Check check) {
  const std::uint64_t first = FromEnvironment("BASILSPUR_SEED", 1);
  const std::uint64_t count = FromEnvironment("BASILSPUR_SEEDS", 10);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    SimulatedCell cell(seed, kNodes);
    Prepare(cell);
    REQUIRE(AllRun(cell));
    check(cell);
    INFO(Report(cell));
    CHECK(AllRun(cell));
    cell.RunFor(kAfterwards);
    CHECK(AllRun(cell));
    CHECK(cell.Checker().Violations().empty());
  }
}

/// Guards against a successor that holds runs on VMs that it has never reached
/// for as long as a lost machine could have renewed their leases.
TEST_CASE(
    "long-running tasks run again soon if their VMs and the owner's machine "
    "are lost together") {
  // From the loss of the VMs to that of the machine.
  const Millis delay = GENERATE(Millis(-500), Millis(100), Millis(700));
  ForEachSeed([&](SimulatedCell& cell) {
    const int owner = cell.Owner();
    if (delay < Millis(0)) {
      LoseMachine(cell, owner);
      cell.RunFor(kNoDelay - delay);
    }
    const std::vector<std::string> lost = LoseVms(cell);
    if (delay >= Millis(0)) {
      cell.RunFor(delay);
      LoseMachine(cell, owner);
    }
    cell.RunFor(kUnlistDelay);
    UnlistVms(cell, lost);
    cell.RunFor(kMaxGap + std::min(delay, kNoDelay) - kUnlistDelay);
  });
}

/// Guards against a wait that does not end with the trouble of a former owner.
TEST_CASE(
    "long-running tasks run again soon if their VMs are lost while the owner "
    "is frozen") {
  constexpr Millis kFreeze(4'000);
  ForEachSeed([&](SimulatedCell& cell) {
    const int owner = cell.Owner();
    cell.SetFrozen(owner, true);
    cell.RunFor(Millis(500));
    const std::vector<std::string> lost = LoseVms(cell);
    cell.RunFor(kFreeze - Millis(500));
    cell.SetFrozen(owner, false);
    cell.StartContactTime(owner);
    UnlistVms(cell, lost);
    cell.RunFor(kMaxGap - kReplacement);
  });
}

/// Guards against a wait that each change of owner begins anew.
TEST_CASE(
    "long-running tasks run again soon if their VMs are lost while owners "
    "leave in turn") {
  ForEachSeed([&](SimulatedCell& cell) {
    const std::vector<std::string> lost = LoseVms(cell);
    constexpr Millis kPause(900);
    Millis passed;
    for (; passed < Millis(7'200); passed = passed + kPause) {
      const int owner = cell.Owner();
      if (owner >= 0) cell.TerminateNode(owner, Millis(3'000));
      cell.RunFor(kPause);
      for (int node = 0; node < kNodes; ++node) {
        if (!cell.IsAlive(node)) cell.StartNode(node);
      }
      if (passed == kPause * 3) UnlistVms(cell, lost);
    }
    // Owners that leave as planned are no trouble.
    cell.RunFor(kMaxGap - kReplacement - passed);
  });
}
