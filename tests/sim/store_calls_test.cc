#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr std::uint64_t kSeed = 5;
static constexpr int kCells = 4;
static constexpr int kFullSpeed = 100;
static constexpr Millis kNoDelay(0);
static constexpr Millis kSettleTime(8'000);
static constexpr int kMeasuredSeconds = 20;
/// Half of the 2,000 reading calls a second that the smallest store allows,
/// shared among the most cells that a layout has.
static constexpr double kMaxCallsPerCell = 1'000.0 / 24;
/// Calls with 300 entries as a multiple of those with 10.
static constexpr double kMaxGrowth = 1.5;

/// Calls to the store in a second, of a deployment where nothing happens.
static double MeasureCallsPerSecond(int entries) {
  SimulatedCell cell(kSeed, entries, kCells);
  for (int number = 0; number < kCells; ++number) {
    const std::string machine = "vm" + std::to_string(number);
    cell.ListVm(cell.StartVm(machine, kFullSpeed, number), kNoDelay);
  }
  REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(10'000)));
  cell.RunFor(kSettleTime);
  const std::int64_t before = cell.Store().Calls();
  cell.RunFor(Millis(1'000) * kMeasuredSeconds);
  return static_cast<double>(cell.Store().Calls() - before) / kMeasuredSeconds;
}

TEST_CASE("calls to the store do not grow with the number of entries") {
  std::map<int, double> calls;
  for (const int entries : {10, 100, 300}) {
    calls[entries] = MeasureCallsPerSecond(entries);
    CAPTURE(entries, calls[entries]);
    CHECK(calls[entries] < kMaxCallsPerCell * kCells);
  }
  CHECK(calls[300] < calls[10] * kMaxGrowth);
}
