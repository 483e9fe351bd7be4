#ifndef BASILSPUR_REPLICA_INCARNATION_H_
#define BASILSPUR_REPLICA_INCARNATION_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/random.h"
#include "state/cluster_state.h"

namespace basilspur::replica {

/// Returns an incarnation number for a process that starts now under `name`. It
/// is higher than any in the state, and differs from that of an earlier process
/// whose first record has not reached the log yet.
/// Thread safety: any thread, while the state does not change.
std::int64_t NextIncarnation(const state::ClusterState& state,
                             const std::string& name, Millis wall_now,
                             Random& random);

}  // namespace basilspur::replica

#endif  // BASILSPUR_REPLICA_INCARNATION_H_
