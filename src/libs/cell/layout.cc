#include "cell/layout.h"

#include <algorithm>
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
                  int max_cells) {
  std::map<std::string, int> sizes;
  for (const jobs::VmListing& vm : vms) ++sizes[vm.rack];
  std::vector<std::pair<int, std::string>> racks;
  for (const auto& [rack, size] : sizes) racks.emplace_back(-size, rack);
  std::sort(racks.begin(), racks.end());
  const int wanted_cells = static_cast<int>(vms.size()) / vms_per_cell;
  const int cell_limit = std::min(max_cells, static_cast<int>(racks.size()));
  Layout layout;
  layout.cells = std::max(1, std::min(wanted_cells, cell_limit));
  std::vector<int> cell_sizes(layout.cells);
  for (const auto& [size, rack] : racks) {
    const auto smallest =
        std::min_element(cell_sizes.begin(), cell_sizes.end());
    layout.cell_by_rack[rack] = static_cast<int>(smallest - cell_sizes.begin());
    *smallest -= size;
  }
  return layout;
}

}  // namespace basilspur::cell
