#include "cell/cell_balancer.h"

#include <algorithm>

#include "base/hashing.h"

namespace basilspur::cell {

/// Another cell must be less loaded by this share of its room.
static constexpr double kMargin = 0.04;
/// Charged tasks leave about this part of their processor time unused.
static constexpr double kUnusedShare = 0.45;
static constexpr int kDraws = 2;

namespace {

/// What a job takes at most at a time.
struct Demand {
  std::int64_t cpu_millis = 0;
  bool best_effort = false;
};

}  // namespace

static Demand DemandOf(const jobs::JobSpec& spec) {
  Demand demand;
  for (const jobs::StepSpec& step : spec.steps) {
    const std::int64_t cpu = step.need.cpu_millis * step.count;
    if (cpu < demand.cpu_millis) continue;
    demand = {cpu, step.best_effort};
  }
  return demand;
}

static double PressureOf(const CellLoad& load, bool best_effort) {
  const auto room = static_cast<double>(load.room);
  const auto charged = static_cast<double>(load.charged);
  if (!best_effort) {
    return (charged + static_cast<double>(load.waiting)) / room;
  }
  const double left = room - charged * (1 - kUnusedShare);
  return static_cast<double>(load.best_effort) / std::max(left, 1.0);
}

int CellBalancer::Choose(int home, std::string_view id,
                         const jobs::JobSpec& spec) {
  const Demand demand = DemandOf(spec);
  const auto cells = static_cast<std::uint64_t>(loads_.size());
  int best = home;
  std::uint64_t draw = StableHash(id);
  for (int i = 0; i < kDraws && loads_[home].room > 0; ++i) {
    draw = MixBits(draw + 1);
    const int other = static_cast<int>(draw % cells);
    if (other == best || loads_[other].room <= 0) continue;
    const double margin = best == home ? kMargin : 0;
    const double gain = PressureOf(loads_[best], demand.best_effort) -
                        PressureOf(loads_[other], demand.best_effort);
    if (gain > margin) best = other;
  }
  CellLoad& chosen = loads_[best];
  (demand.best_effort ? chosen.best_effort : chosen.waiting) +=
      demand.cpu_millis;
  return best;
}

}  // namespace basilspur::cell
