#include "cell/eligible_cells.h"

#include <optional>

#include "jobs/step_places.h"

namespace basilspur::cell {

static std::set<int> CellsForStep(const Fleet& fleet,
                                  const std::string& service,
                                  const jobs::StepSpec& step) {
  const int needed = jobs::PlacesNeeded(step);
  std::map<int, int> places;
  for (const auto& [id, vm] : fleet.vms) {
    const int count = jobs::CountPlaces(vm, service, step, fleet.closures);
    if (count > 0) places[fleet.cell_of(vm)] += count;
  }
  std::set<int> cells;
  for (const auto& [cell, count] : places) {
    if (count >= needed) cells.insert(cell);
  }
  return cells;
}

std::set<int> EligibleCells(const Fleet& fleet, const std::string& service,
                            const jobs::JobSpec& spec) {
  std::optional<std::set<int>> eligible;
  for (const jobs::StepSpec& step : spec.steps) {
    if (step.required_label.empty() && !step.gang) continue;
    const std::set<int> cells = CellsForStep(fleet, service, step);
    if (!eligible) {
      eligible = cells;
      continue;
    }
    std::erase_if(*eligible, [&](int cell) { return !cells.contains(cell); });
  }
  return eligible.value_or(std::set<int>());
}

}  // namespace basilspur::cell
