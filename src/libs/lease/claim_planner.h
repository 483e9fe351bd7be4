#ifndef BASILSPUR_LEASE_CLAIM_PLANNER_H_
#define BASILSPUR_LEASE_CLAIM_PLANNER_H_

#include <set>
#include <string>
#include <vector>

#include "records/record.h"
#include "state/cluster_state.h"

namespace basilspur::lease {

/// The entry that should own a VM, by rendezvous hashing over the entries
/// that are up; empty if no entry is up. Thread safety: any thread.
std::string PreferredOwner(const std::string& vm,
                           const std::set<std::string>& entries_up);

/// The VMs of which `self` should become the standby now. `entries_up` and
/// thread safety: as for PlanClaims().
std::vector<records::VmStandby> PlanStandbys(
    const state::ClusterState& state, const records::EntryRef& self,
    const std::set<std::string>& entries_up);

/// The VMs that `self` should claim now. `entries_up` holds the names of the
/// live entries from which this one has recently received a message, including
/// `self` unless it is stopping. Thread safety: any thread, while the state
/// does not change.
std::vector<records::VmClaimed> PlanClaims(
    const state::ClusterState& state, const records::EntryRef& self,
    const std::set<std::string>& entries_up);

}  // namespace basilspur::lease

#endif  // BASILSPUR_LEASE_CLAIM_PLANNER_H_
