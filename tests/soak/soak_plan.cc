#include "soak/soak_plan.h"

#include <algorithm>
#include <random>

namespace basilspur::soak {

using Random = std::mt19937_64;

static constexpr int kLargeRunPeriod = 8;  ///< In seeds.
static constexpr int kLargeEntries = 40;
/// Faults end at this percentage of the duration, so that the entries are in
/// touch with the store again when the checks at the end begin.
static constexpr int kFaultsEndPercent = 60;

static int Between(Random& random, int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random);
}

static Target PickTarget(Random& random) {
  const int choice = Between(random, 0, 9);
  if (choice < 2) return Target::kNewest;
  return choice < 4 ? Target::kOwner : Target::kNext;
}

static void AddSeries(SoakPlan& plan, Random& random, int series) {
  const int width = Between(random, 1, 3);
  const int gap_ms = Between(random, 200, 900);
  int at_ms = Between(random, 500, 2'500);
  while (at_ms < plan.duration.count) {
    for (int i = 0; i < width; ++i) {
      Action action;
      action.at = Millis(at_ms);
      action.series = series;
      action.target = PickTarget(random);
      if (Between(random, 0, 7) == 0) action.kind = Action::Kind::kStopTwice;
      plan.actions.push_back(action);
    }
    at_ms += gap_ms;
  }
}

static void AddFaults(SoakPlan& plan, Random& random) {
  using Kind = Action::Kind;
  const int faults_end_ms =
      static_cast<int>(plan.duration.count) * kFaultsEndPercent / 100;
  const int count = Between(random, 2, 5);
  for (int i = 0; i < count; ++i) {
    static constexpr Kind kFaults[] = {Kind::kKill, Kind::kFreeze, Kind::kSlow,
                                       Kind::kRefuse, Kind::kDrop};
    Action action;
    action.kind = kFaults[Between(random, 0, 4)];
    action.duration = Millis(Between(random, 200, 1'500));
    const int last_ms = faults_end_ms - static_cast<int>(action.duration.count);
    action.at = Millis(Between(random, 500, std::max(500, last_ms)));
    action.target = Between(random, 0, 1) == 0 ? Target::kOwner : Target::kNext;
    plan.actions.push_back(action);
  }
}

SoakPlan MakePlan(std::uint64_t seed, const SoakOptions& options) {
  Random random(seed);
  SoakPlan plan;
  plan.seed = seed;
  plan.duration = options.duration;
  plan.entries = Between(random, 9, 14);
  if (seed % kLargeRunPeriod == 0) plan.entries = kLargeEntries;
  if (options.entries > 0) plan.entries = options.entries;
  plan.cells = Between(random, 2, 5);
  plan.workers = plan.cells * Between(random, 2, 4);
  plan.planned_only =
      options.faults == "none" || (options.faults != "all" && seed % 2 == 0);
  plan.keeps_some = seed % 3 != 0;
  const int series = Between(random, 2, 3);
  for (int i = 0; i < series; ++i) AddSeries(plan, random, i);
  if (!plan.planned_only) AddFaults(plan, random);
  std::stable_sort(
      plan.actions.begin(), plan.actions.end(),
      [](const Action& a, const Action& b) { return a.at < b.at; });
  return plan;
}

}  // namespace basilspur::soak
