#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr int kNodes = 8;
/// As on the users' grown sites.
static constexpr int kManyNodes = 36;
static constexpr int kVms = 6;
static constexpr Millis kNoDelay(0);
/// Longer than the time limit of a probe.
static constexpr Millis kRequestWait(1'200);
static constexpr Millis kCallInterval(100);

static std::uint64_t FromEnvironment(const char* name, std::uint64_t other) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : other;
}

template <class Check>
static void ForEachSeed(std::uint64_t seeds, Check check) {
  const std::uint64_t first = FromEnvironment("BASILSPUR_SEED", 1);
  const std::uint64_t count = FromEnvironment("BASILSPUR_SEEDS", seeds);
  for (std::uint64_t seed = first; seed < first + count; ++seed) check(seed);
}

static void StartCell(SimulatedCell& cell) {
  for (int vm = 0; vm < kVms; ++vm)
    cell.ListVm(cell.StartVm("vm" + std::to_string(vm)), kNoDelay);
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(10'000)));
  cell.RunFor(Millis(3'000));
}

/// A caller asks all nodes in turn for the states of jobs.
static net::asio::awaitable<void> SendReads(SimulatedCell& cell) {
  for (int call = 0;; ++call) {
    co_await net::Sleep(kCallInterval);
    const int node = call % cell.NodeCount();
    if (!cell.IsAlive(node)) continue;
    cell.CallOnce(node, cell::RequestKind::kStatus,
                  "job" + std::to_string(call));
  }
}

static void PrintTrace(SimulatedCell& cell) {
  if (FromEnvironment("BASILSPUR_TRACE", 0) == 0) return;
  for (const std::string& line : cell.Events().Lines())
    std::cout << line << "\n";
}

TEST_CASE("an owner whose requests wait for too long gives its cell up") {
  // Its ticks and renewals are on time, so no other entry takes the cell.
  const auto [nodes, seeds] =
      GENERATE(table<int, std::uint64_t>({{kNodes, 50}, {kManyNodes, 10}}));
  ForEachSeed(seeds, [nodes = nodes](std::uint64_t seed) {
    CAPTURE(seed, nodes);
    SimulatedCell cell(seed, nodes);
    StartCell(cell);
    cell.Spawn(SendReads(cell));
    cell.RunFor(Millis(1'000));
    const int slow = cell.Owner();
    cell.Faults(slow).request_wait = kRequestWait;
    // Requests are read late from here on.
    cell.RunFor(kRequestWait);
    const bool moved = cell.RunUntil(
        [&] { return cell.Owner() != slow && cell.IsOwnerReady(); },
        Millis(3'000));
    PrintTrace(cell);
    CHECK(moved);
    cell.RunFor(Millis(20'000));
    CHECK(cell.Owner() != slow);
    CHECK(cell.Checker().Violations().empty());
  });
}

TEST_CASE("a cell does not wander between owners that are all slow") {
  ForEachSeed(10, [](std::uint64_t seed) {
    CAPTURE(seed);
    SimulatedCell cell(seed, kNodes);
    StartCell(cell);
    cell.Spawn(SendReads(cell));
    for (int node = 0; node < kNodes; ++node)
      cell.Faults(node).request_wait = kRequestWait;
    int changes = 0;
    int owner = cell.Owner();
    for (int i = 0; i < 1'200; ++i) {
      cell.RunFor(Millis(100));
      const int next = cell.Owner();
      if (next < 0 || next == owner) continue;
      owner = next;
      ++changes;
    }
    PrintTrace(cell);
    CHECK(changes <= 8);
  });
}
