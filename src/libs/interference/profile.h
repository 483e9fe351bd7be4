#ifndef BASILSPUR_INTERFERENCE_PROFILE_H_
#define BASILSPUR_INTERFERENCE_PROFILE_H_

#include <string_view>

#include "base/clock.h"
#include "interference/pressure_limits.h"

namespace basilspur::interference {

/// Parameters of the trade-off between the tail latency of services, the
/// throughput of batch jobs and the number of evictions.
struct Profile {
  std::string_view name;
  /// A job is not placed on a VM where the predicted slowdown of the services
  /// exceeds this limit, unless it has waited for `max_wait`.
  double max_predicted_slowdown = 0;
  Millis max_wait;
  PressureLimits pressure;
  double evictions_per_minute = 0;  ///< Limit per entry, due to interference.
};

/// Returns the profile of this name. Precondition: `name` is "tail" or
/// "throughput".
/// Thread safety: any thread.
const Profile& ProfileNamed(std::string_view name);

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_PROFILE_H_
