#include "cell/layout.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "base/hashing.h"

namespace basilspur::cell {

int Layout::CellOfJob(std::string_view id) const {
  return static_cast<int>(MixBits(StableHash(id)) %
                          static_cast<std::uint64_t>(cells));
}

int Layout::CellOfRack(const std::string& rack) const {
  const auto found = cell_by_rack.find(rack);
  if (found != cell_by_rack.end()) return found->second;
  return static_cast<int>(MixBits(StableHash(rack)) %
                          static_cast<std::uint64_t>(cells));
}

Layout MakeLayout(std::span<const jobs::VmListing> vms, int vms_per_cell,
                  int max_cells, bool spread_data_centers) {
  std::map<std::string, int> sizes;
  std::map<std::string, std::string> data_centers;  // By rack.
  for (const jobs::VmListing& vm : vms) {
    ++sizes[vm.rack];
    data_centers.try_emplace(vm.rack, vm.data_center);
  }
  // Each data center is distributed as a whole, so that the cells with one rack
  // more of it are those that were smallest before.
  std::vector<std::tuple<std::string, int, std::string>> racks;
  for (const auto& [rack, size] : sizes) {
    racks.emplace_back(spread_data_centers ? data_centers[rack] : "", -size,
                       rack);
  }
  std::sort(racks.begin(), racks.end());
  const int wanted_cells = static_cast<int>(vms.size()) / vms_per_cell;
  const int cell_limit = std::min(max_cells, static_cast<int>(racks.size()));
  Layout layout;
  layout.cells = std::max(1, std::min(wanted_cells, cell_limit));
  /// VMs of a cell: in the rack's data center, then in all.
  using CellSize = std::pair<int, int>;
  std::map<std::string, std::vector<int>> sizes_by_data_center;
  std::vector<int> cell_sizes(layout.cells);
  for (const auto& [data_center, size, rack] : racks) {
    std::vector<int>& local = sizes_by_data_center[data_center];
    local.resize(layout.cells);
    int smallest = 0;
    const auto size_of = [&](int cell) {
      return CellSize(spread_data_centers ? local[cell] : 0, cell_sizes[cell]);
    };
    for (int cell = 1; cell < layout.cells; ++cell) {
      if (size_of(cell) < size_of(smallest)) smallest = cell;
    }
    layout.cell_by_rack[rack] = smallest;
    cell_sizes[smallest] -= size;
    local[smallest] -= size;
  }
  return layout;
}

}  // namespace basilspur::cell
