#include "cell/eligible_cells.h"

#include <algorithm>
#include <optional>

namespace basilspur::cell {

/// Returns how many tasks of the step fit on the empty VM, up to `max`.
static int CountFitting(const jobs::StepSpec& step,
                        const records::Resources& capacity, int max) {
  records::Resources left = capacity;
  int count = 0;
  for (; count < max && step.Charge().FitsIn(left); ++count)
    left = left - step.Charge();
  return count;
}

static std::set<int> CellsForStep(const Fleet& fleet,
                                  const std::string& service,
                                  const jobs::StepSpec& step) {
  const int wanted = step.gang ? step.count : 1;
  const int max_per_vm =
      step.max_per_vm > 0 ? std::min(step.max_per_vm, wanted) : wanted;
  std::map<int, int> places;
  for (const auto& [id, vm] : fleet.vms) {
    const bool has_label =
        step.required_label.empty() || vm.HasLabel(step.required_label);
    const bool accepts_work = vm.service == service && !vm.draining &&
                              !fleet.closures.IsClosed(vm.data_center);
    if (!has_label || !accepts_work) continue;
    int& in_cell = places[fleet.cell_of(vm)];
    if (in_cell < wanted)
      in_cell += CountFitting(step, vm.capacity, max_per_vm);
  }
  std::set<int> cells;
  for (const auto& [cell, count] : places) {
    if (count >= wanted) cells.insert(cell);
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
