#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr int kNodes = 4;
static constexpr int kVms = 8;
static constexpr int kFlappingVms = 3;
static constexpr int kFlaps = 5;
static constexpr Millis kNoDelay(0);
static constexpr Millis kFirstOwnerTimeout(10'000);
/// The users' pages: half of the starts for 5.5 s; VMs go down for 0.7 s of
/// each 1.4 s, for 6.5 s.
static constexpr double kLateShare = 0.5;
static constexpr Millis kLateTime(5'500);
static constexpr Millis kDownTime(700);
static constexpr Millis kFlapInterval(1'400);
static constexpr Millis kJobInterval(100);
static constexpr Millis kCalm(20'000);
static constexpr char kTaskTime[] = "300";
static constexpr int kTasks = 8;

static std::uint64_t FromEnvironment(const char* name, std::uint64_t other) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : other;
}

static net::asio::awaitable<void> SubmitJobs(SimulatedCell& cell, int jobs) {
  jobs::JobSpec spec;
  spec.payload = kTaskTime;
  jobs::StepSpec& step = spec.steps.emplace_back();
  step.count = kTasks;
  step.need = {500, 500, 0};
  for (int job = 0; job < jobs; ++job) {
    cell.Submit("job" + std::to_string(job), spec);
    co_await net::Sleep(kJobInterval);
  }
}

static void LoseStarts(SimulatedCell& cell, double share) {
  for (int node = 0; node < cell.NodeCount(); ++node)
    cell.Faults(node).late_start_share = share;
}

/// Starts are carried out late while VMs go down and up by turns. Returns
/// whether all promises are kept.
static bool KeepsPromises(std::uint64_t seed, bool kills_owners) {
  SimulatedCell cell(seed, kNodes);
  std::vector<std::string> vms;
  for (int vm = 0; vm < kVms; ++vm) {
    vms.push_back(cell.StartVm("vm" + std::to_string(vm)));
    cell.ListVm(vms.back(), kNoDelay);
  }
  cell.RunUntil([&] { return cell.IsOwnerReady(); }, kFirstOwnerTimeout);
  const Millis traffic = kLateTime + kFlapInterval * kFlaps;
  cell.Spawn(
      SubmitJobs(cell, static_cast<int>(traffic.count / kJobInterval.count)));
  LoseStarts(cell, kLateShare);
  cell.RunFor(kLateTime);
  LoseStarts(cell, 0);
  for (int flap = 0; flap < kFlaps; ++flap) {
    const int owner = cell.Owner();
    const bool kills = kills_owners && flap % 2 == 0 && owner >= 0;
    if (kills) cell.KillNode(owner);
    for (int vm = 0; vm < kFlappingVms; ++vm)
      cell.RestartWorker(vms[vm], kDownTime);
    cell.RunFor(kFlapInterval);
    if (kills && !cell.IsAlive(owner)) cell.StartNode(owner);
  }
  cell.RunFor(kCalm);
  cell.CheckAfterCalm();
  if (FromEnvironment("BASILSPUR_TRACE", 0) > 0) {
    for (const std::string& line : cell.Events().Lines())
      std::cout << line << "\n";
  }
  for (const std::string& violation : cell.Checker().Violations())
    std::cout << "seed " << seed << " " << violation << "\n";
  return cell.Checker().Violations().empty();
}

static void CheckSeeds(bool kills_owners) {
  const std::uint64_t first = FromEnvironment("BASILSPUR_SEED", 1);
  const std::uint64_t count = FromEnvironment("BASILSPUR_SEEDS", 20);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    CHECK(KeepsPromises(seed, kills_owners));
  }
}

// TWICE: a task that was done, and its end acknowledged, was started again by a
// late copy of its start once its VM's worker had started again.
TEST_CASE("late copies of starts do not run tasks again after their ends") {
  CheckSeeds(/*kills_owners=*/false);
}

// TWICE: a successor acknowledged ends, or started tasks elsewhere, while late
// copies of its predecessor's starts could still come.
TEST_CASE("late copies of starts of earlier owners do not run tasks again") {
  CheckSeeds(/*kills_owners=*/true);
}
