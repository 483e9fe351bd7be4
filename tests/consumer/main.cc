// Uses parts of the installed libraries, as another project would.
#include <iostream>

#include "lease/claim_planner.h"
#include "routing/slot_partition.h"

int main() {
  const std::vector<std::int64_t> slots = {8, 8, 8};
  const auto shares = basilspur::routing::PartitionSlots(slots, 0, 3, 0);
  std::cout << basilspur::lease::PreferredOwner("vm-1", {"a", "b"}) << " owns "
            << shares[0] << " slots of the first target\n";
  return shares[0] == 8 ? 0 : 1;
}
