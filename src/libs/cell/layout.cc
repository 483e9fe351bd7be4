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
  const auto found = racks.find(rack);
  if (found != racks.end()) return found->second;
  return static_cast<int>(MixBits(StableHash(rack)) %
                          static_cast<std::uint64_t>(cells));
}

Layout MakeLayout(std::span<const jobs::VmListing> vms, int vms_per_cell,
                  int most) {
  std::map<std::string, int> sizes;
  for (const jobs::VmListing& vm : vms) ++sizes[vm.rack];
  std::vector<std::pair<int, std::string>> racks;
  for (const auto& [rack, size] : sizes) racks.emplace_back(-size, rack);
  std::sort(racks.begin(), racks.end());
  const int wanted = static_cast<int>(vms.size()) / vms_per_cell;
  const int limit = std::min(most, static_cast<int>(racks.size()));
  Layout layout;
  layout.cells = std::max(1, std::min(wanted, limit));
  std::vector<int> filled(layout.cells);
  for (const auto& [size, rack] : racks) {
    const auto least = std::min_element(filled.begin(), filled.end());
    layout.racks[rack] = static_cast<int>(least - filled.begin());
    *least -= size;
  }
  return layout;
}

}  // namespace basilspur::cell
