#include "cell/cell_balancer.h"

#include <algorithm>
#include <iterator>

#include "base/hashing.h"

namespace basilspur::cell {

/// A job leaves its home cell only for a cell whose load ratio is lower by more
/// than this.
static constexpr double kMinLoadGain = 0.04;
/// Approximate share of their charged processor time that charged tasks leave
/// unused.
static constexpr double kUnusedCpuShare = 0.45;
/// Number of cells that are drawn by the job's id and compared with its home.
static constexpr int kCandidateCells = 2;
/// The same if no VM of the home cell accepts work. With a quarter of 4 to 24
/// cells closed, all draws are closed for one job in 65,000.
static constexpr int kDrawsFromClosedCell = 8;

namespace {

/// The processor capacity that the widest step of a job needs at once.
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

static double LoadRatio(const CellLoad& load, bool best_effort) {
  const auto capacity = static_cast<double>(load.capacity_cpu_millis);
  const auto charged = static_cast<double>(load.charged_cpu_millis);
  if (!best_effort) {
    return (charged + static_cast<double>(load.waiting_cpu_millis)) / capacity;
  }
  const double unused = capacity - charged * (1 - kUnusedCpuShare);
  return static_cast<double>(load.best_effort_cpu_millis) /
         std::max(unused, 1.0);
}

int CellBalancer::DrawEligibleCell(std::uint64_t hash,
                                   const std::set<int>& eligible,
                                   bool best_effort) const {
  std::optional<int> best;
  for (int i = 0; i < kCandidateCells; ++i) {
    hash = MixBits(hash + 1);
    const auto position = static_cast<int>(hash % eligible.size());
    const int candidate = *std::next(eligible.begin(), position);
    const bool is_better = !best || loads_[*best].capacity_cpu_millis <= 0 ||
                           (loads_[candidate].capacity_cpu_millis > 0 &&
                            LoadRatio(loads_[candidate], best_effort) <
                                LoadRatio(loads_[*best], best_effort));
    if (is_better) best = candidate;
  }
  return *best;
}

int CellBalancer::ChooseCell(int home_cell, std::string_view id,
                             const jobs::JobSpec& spec,
                             const std::set<int>& eligible) {
  const Demand demand = DemandOf(spec);
  const auto cells = static_cast<std::uint64_t>(loads_.size());
  int best = home_cell;
  std::uint64_t hash = StableHash(id);
  const bool home_closed = loads_[home_cell].closed;
  const bool home_known =
      home_closed || loads_[home_cell].capacity_cpu_millis > 0;
  // In a closed cell the job would wait, so more cells are drawn for one that
  // accepts work.
  const int draws = home_closed ? kDrawsFromClosedCell : kCandidateCells;
  const bool can_stay = eligible.empty() || eligible.contains(home_cell);
  if (!can_stay) best = DrawEligibleCell(hash, eligible, demand.best_effort);
  for (int i = 0; i < draws && home_known && can_stay; ++i) {
    hash = MixBits(hash + 1);
    const int candidate = static_cast<int>(hash % cells);
    if (candidate == best || loads_[candidate].capacity_cpu_millis <= 0)
      continue;
    if (!eligible.empty() && !eligible.contains(candidate)) continue;
    if (loads_[best].closed) {
      best = candidate;
      continue;
    }
    const double margin = best == home_cell ? kMinLoadGain : 0;
    const double gain = LoadRatio(loads_[best], demand.best_effort) -
                        LoadRatio(loads_[candidate], demand.best_effort);
    if (gain > margin) best = candidate;
  }
  CellLoad& chosen = loads_[best];
  (demand.best_effort ? chosen.best_effort_cpu_millis
                      : chosen.waiting_cpu_millis) += demand.cpu_millis;
  return best;
}

std::optional<int> CellBalancer::ChooseHost(int home_cell,
                                            const records::Resources& need,
                                            int excluded) {
  std::optional<int> best;
  for (int cell = 0; cell < static_cast<int>(loads_.size()); ++cell) {
    if (cell == home_cell || cell == excluded ||
        !need.FitsIn(loads_[cell].largest_room))
      continue;
    if (best && loads_[*best].largest_room.cpu_millis >=
                    loads_[cell].largest_room.cpu_millis) {
      continue;
    }
    best = cell;
  }
  if (!best) return ChooseHostForLater(home_cell, need, excluded);
  // Until the cell publishes its load again, the room counts as taken.
  loads_[*best].largest_room = loads_[*best].largest_room - need;
  loads_[*best].charged_cpu_millis += need.cpu_millis;
  return best;
}

std::optional<int> CellBalancer::ChooseHostForLater(
    int home_cell, const records::Resources& need, int excluded) {
  std::optional<int> best;
  records::Resources* best_room = nullptr;
  for (int cell = 0; cell < static_cast<int>(loads_.size()); ++cell) {
    if (cell == home_cell || cell == excluded) continue;
    for (records::Resources& room : loads_[cell].long_running_rooms) {
      if (!need.FitsIn(room)) continue;
      if (best_room && best_room->cpu_millis >= room.cpu_millis) continue;
      best = cell;
      best_room = &room;
    }
  }
  if (!best) return best;
  *best_room = *best_room - need;
  loads_[*best].charged_cpu_millis += need.cpu_millis;
  return best;
}

std::optional<int> CellBalancer::ChooseHostWithLabel(
    int home_cell, const records::Resources& need, const std::string& label,
    int excluded) {
  std::optional<int> best;
  jobs::LabelRoom* best_room = nullptr;
  for (int cell = 0; cell < static_cast<int>(loads_.size()); ++cell) {
    if (cell == home_cell || cell == excluded) continue;
    for (jobs::LabelRoom& room : loads_[cell].label_rooms) {
      if (room.label != label || !need.FitsIn(room.room)) continue;
      if (best_room && best_room->room.cpu_millis >= room.room.cpu_millis)
        continue;
      best = cell;
      best_room = &room;
    }
  }
  // Until the cell publishes its load again, the room counts as taken.
  if (best) {
    best_room->room = best_room->room - need;
    loads_[*best].charged_cpu_millis += need.cpu_millis;
  }
  return best;
}

std::optional<int> CellBalancer::ChooseHostOfGang(int home_cell,
                                                  const jobs::StepSpec& step,
                                                  const std::set<int>& eligible,
                                                  int excluded) {
  if (eligible.contains(home_cell)) return std::nullopt;
  std::optional<int> best;
  for (const int cell : eligible) {
    const CellLoad& load = loads_[cell];
    if (cell == excluded || load.closed || load.capacity_cpu_millis <= 0)
      continue;
    const bool is_better =
        !best || LoadRatio(load, step.best_effort) <
                     LoadRatio(loads_[*best], step.best_effort);
    if (is_better) best = cell;
  }
  if (best)
    loads_[*best].waiting_cpu_millis += step.need.cpu_millis * step.count;
  return best;
}

bool CellBalancer::HasRoomElsewhere(int home_cell) const {
  for (int cell = 0; cell < static_cast<int>(loads_.size()); ++cell) {
    if (cell != home_cell && !loads_[cell].rooms.empty()) return true;
  }
  return false;
}

std::optional<int> CellBalancer::ChooseHostOfShortTask(
    int home_cell, const records::Resources& need, int excluded) {
  const int cells = static_cast<int>(loads_.size());
  for (int distance = 1; distance < cells; ++distance) {
    const int cell = (home_cell + distance) % cells;
    if (cell == excluded) continue;
    for (records::Resources& room : loads_[cell].rooms) {
      if (!need.FitsIn(room)) continue;
      // Until the cell publishes its load again, the room counts as taken.
      room = room - need;
      loads_[cell].charged_cpu_millis += need.cpu_millis;
      return cell;
    }
  }
  return std::nullopt;
}

}  // namespace basilspur::cell
