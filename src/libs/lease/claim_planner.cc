#include "lease/claim_planner.h"

#include "base/hashing.h"

namespace basilspur::lease {

/// The entry with the highest rendezvous weight for the VM, not counting
/// `excluded`. Empty if no other entry is up.
static std::string HighestWeightEntry(const std::string& vm,
                                      const std::set<std::string>& entries_up,
                                      const std::string& excluded) {
  std::string best;
  std::uint64_t best_weight = 0;
  for (const auto& name : entries_up) {
    if (name == excluded) continue;
    const std::uint64_t weight = RendezvousWeight(vm, name);
    if (!best.empty() && weight <= best_weight) continue;
    best = name;
    best_weight = weight;
  }
  return best;
}

std::string PreferredOwner(const std::string& vm,
                           const std::set<std::string>& entries_up) {
  return HighestWeightEntry(vm, entries_up, "");
}

/// The entry that should be the standby for the preferred owner of the VM;
/// empty if there is none.
static std::string PreferredStandby(const std::string& vm,
                                    const std::set<std::string>& entries_up) {
  const std::string owner = PreferredOwner(vm, entries_up);
  return owner.empty() ? "" : HighestWeightEntry(vm, entries_up, owner);
}

std::vector<records::VmClaimed> PlanClaims(
    const state::ClusterState& state, const records::EntryRef& self,
    const std::set<std::string>& entries_up) {
  std::vector<records::VmClaimed> claims;
  for (const auto& [name, vm] : state.VmTable()) {
    if (vm.spec.worker_address.empty() || vm.owner == self) continue;
    if (PreferredOwner(name, entries_up) != self.name) continue;
    claims.push_back({name, vm.owner});
  }
  return claims;
}

std::vector<records::VmStandby> PlanStandbys(
    const state::ClusterState& state, const records::EntryRef& self,
    const std::set<std::string>& entries_up) {
  std::vector<records::VmStandby> standbys;
  for (const auto& [name, vm] : state.VmTable()) {
    const bool has_owner = !vm.owner.name.empty() && vm.owner != self;
    if (vm.spec.worker_address.empty() || !has_owner) continue;
    if (vm.unreachable || vm.renewers.contains(self)) continue;
    if (PreferredStandby(name, entries_up) != self.name) continue;
    standbys.push_back({name, vm.standby});
  }
  return standbys;
}

}  // namespace basilspur::lease
