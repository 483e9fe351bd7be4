#include "routing/slot_partition.h"

#include <algorithm>
#include <numeric>

namespace basilspur::routing {

/// One request beyond the number of slots is sent for this many slots.
static constexpr std::int64_t kSlotsPerPipelinedRequest = 2;

std::int64_t WithPipelining(std::int64_t slots) {
  return slots +
         (slots + kSlotsPerPipelinedRequest - 1) / kSlotsPerPipelinedRequest;
}

std::vector<std::int64_t> PartitionSlots(
    std::span<const std::int64_t> slots_of_targets, std::size_t entry_index,
    std::size_t entry_count, std::uint64_t rotation) {
  const std::int64_t total = std::accumulate(
      slots_of_targets.begin(), slots_of_targets.end(), std::int64_t{0});
  const auto count = static_cast<std::int64_t>(entry_count);
  const auto rotated_index = static_cast<std::int64_t>(
      (static_cast<std::uint64_t>(entry_index) + rotation) % entry_count);
  const std::int64_t begin = total * rotated_index / count;
  const std::int64_t end = total * (rotated_index + 1) / count;
  std::vector<std::int64_t> shares;
  shares.reserve(slots_of_targets.size());
  std::int64_t position = 0;
  for (const std::int64_t slots : slots_of_targets) {
    const std::int64_t overlap =
        std::min(end, position + slots) - std::max(begin, position);
    shares.push_back(std::max<std::int64_t>(overlap, 0));
    position += slots;
  }
  return shares;
}

}  // namespace basilspur::routing
