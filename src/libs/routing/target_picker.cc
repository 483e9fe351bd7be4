#include "routing/target_picker.h"

namespace basilspur::routing {

/// Index of the candidate with the lowest cost; ties are broken at random.
template <class Cost>
static std::size_t PickLowest(std::span<const Target* const> candidates,
                              Random& random, Cost cost) {
  std::size_t best = 0;
  double best_cost = cost(*candidates[0]);
  std::uint64_t ties = 1;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const double this_cost = cost(*candidates[i]);
    if (this_cost > best_cost) continue;
    ties = this_cost < best_cost ? 1 : ties + 1;
    if (random.Below(ties) != 0) continue;
    best = i;
    best_cost = this_cost;
  }
  return best;
}

std::size_t RoundRobinPicker::Pick(std::span<const Target* const> candidates,
                                   Random&) {
  return next_++ % candidates.size();
}

std::size_t RandomPicker::Pick(std::span<const Target* const> candidates,
                               Random& random) {
  return random.Below(candidates.size());
}

std::size_t LeastConnectionsPicker::Pick(
    std::span<const Target* const> candidates, Random& random) {
  return PickLowest(candidates, random, [](const Target& target) {
    return static_cast<double>(target.in_flight);
  });
}

std::size_t LeastExpectedDelayPicker::Pick(
    std::span<const Target* const> candidates, Random& random) {
  return PickLowest(candidates, random, [](const Target& target) {
    const auto load = static_cast<double>(target.in_flight + 1) /
                      static_cast<double>(target.UsableSlots());
    return load * (target.health.AverageLatency() + 1);
  });
}

std::unique_ptr<TargetPicker> MakeTargetPicker(std::string_view name) {
  if (name == "round-robin") return std::make_unique<RoundRobinPicker>();
  if (name == "random") return std::make_unique<RandomPicker>();
  if (name == "least-connections") {
    return std::make_unique<LeastConnectionsPicker>();
  }
  if (name == "least-expected-delay") {
    return std::make_unique<LeastExpectedDelayPicker>();
  }
  return nullptr;
}

}  // namespace basilspur::routing
