#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr int kNodes = 3;
static constexpr int kVms = 6;
static constexpr int kJobs = 12;
static constexpr Millis kNoDelay(0);

/// A node and one of `share` VMs are in one data center, everything else and
/// the store in others. Separates them.
static void CutDataCenter(SimulatedCell& cell, int node, std::size_t share) {
  const std::vector<std::string> vms = cell.Vms();
  for (int other = 0; other < cell.NodeCount(); ++other) {
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
      const bool here = vm % share == 0;
      if (here != (other == node)) cell.Faults(other).cut_vms.insert(vms[vm]);
    }
  }
  cell.Faults(node).store = StoreAccess::kSilent;
  cell.Faults(node).peers_cut = true;
}

static void EndCut(SimulatedCell& cell) {
  for (int node = 0; node < cell.NodeCount(); ++node) {
    cell.Faults(node) = {};
    cell.StartContactTime(node);
  }
}

static std::string Report(SimulatedCell& cell) {
  std::string text;
  for (const std::string& line : cell.Events().Lines()) text += line + "\n";
  return text;
}

/// Cuts off the owner with one of `share` VMs for 15 s, and checks that no task
/// runs twice.
static void CheckCutOffOwner(std::size_t share) {
  const std::uint64_t seed = GENERATE(range(1, 21));
  const int run_ms = GENERATE(4'000, 9'000);
  SimulatedCell cell(seed, kNodes);
  for (int vm = 0; vm < kVms; ++vm)
    cell.ListVm(cell.StartVm("vm" + std::to_string(vm)), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(10'000)));
  cell.RunFor(Millis(3'000));
  jobs::JobSpec spec;
  spec.payload = std::to_string(run_ms);
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = 2;
  step.need = {1'500, 500, 0};
  for (int job = 0; job < kJobs; ++job)
    cell.Submit("job" + std::to_string(job), spec);
  cell.RunFor(Millis(1'000));
  const int owner = cell.Owner();
  CutDataCenter(cell, owner, share);
  cell.RunFor(Millis(15'000));
  EndCut(cell);
  cell.RunFor(Millis(30'000));
  INFO("seed " << seed << "\n" << Report(cell));
  CHECK(cell.Checker().Violations().empty());
}

/// Guards against an owner that is cut off, and starts tasks again whose VMs
/// its successor has reached.
TEST_CASE("an owner that is cut off with some VMs starts no task twice") {
  CheckCutOffOwner(/*share=*/2);
}

/// Guards against an owner that is cut off with few VMs and extends their
/// leases, while its successor has reached the others and counts on their end.
TEST_CASE("an owner that is cut off with few VMs extends no leases for long") {
  CheckCutOffOwner(/*share=*/3);
}
