#ifndef BASILSPUR_ROUTING_TARGET_H_
#define BASILSPUR_ROUTING_TARGET_H_

#include <cstdint>
#include <string>

#include "routing/target_health.h"

namespace basilspur::routing {

/// The state of an executor from the point of view of one entry.
struct Target {
  std::string address;
  std::string data_center;
  /// Slots assigned to this entry, before loans.
  std::int64_t base_slots = 0;
  std::int64_t lent = 0;
  std::int64_t borrowed = 0;
  std::int64_t in_flight = 0;
  bool leaving = false;  ///< Gets no new requests.
  TargetHealth health;

  std::int64_t UsableSlots() const { return base_slots - lent + borrowed; }
  std::int64_t FreeSlots() const { return UsableSlots() - in_flight; }
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_TARGET_H_
