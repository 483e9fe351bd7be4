#ifndef BASILSPUR_ROUTING_SLOT_PARTITION_H_
#define BASILSPUR_ROUTING_SLOT_PARTITION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace basilspur::routing {

/// The maximum number of concurrent requests to a target with this many slots.
/// It exceeds the number of slots, so that a slot is not idle while an answer
/// and the next request are in transit.
std::int64_t WithPipelining(std::int64_t slots);

/// Partitions the slots of a service's targets among entries: entry
/// `entry_index` of `entry_count` gets a contiguous range of slots, so that it
/// shares at most the two targets at the ends of its range with other entries.
/// `rotation` shifts the assignment of ranges to entries, so that the remainder
/// slots of all services do not go to the same entry. Returns the number of
/// slots that this entry gets of each target.
///
/// Precondition: entry_index < entry_count. Thread safety: any thread.
std::vector<std::int64_t> PartitionSlots(
    std::span<const std::int64_t> slots_of_targets, std::size_t entry_index,
    std::size_t entry_count, std::uint64_t rotation);

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_SLOT_PARTITION_H_
