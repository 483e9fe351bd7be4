#include "front/route_table.h"

#include <algorithm>
#include <iterator>

#include "base/hashing.h"
#include "routing/slot_partition.h"

namespace basilspur::front {

static constexpr std::int64_t kDefaultTimeoutMillis = 30'000;
static constexpr std::int64_t kDefaultQueueLimit = 256;

static bool IsLeaving(const state::ClusterState& state,
                      const std::string& vm_name) {
  const auto vm = state.VmTable().find(vm_name);
  if (vm == state.VmTable().end()) return false;
  return vm->second.leaving || vm->second.draining;
}

static ServiceRoute BuildRoute(const state::ClusterState& state,
                               const records::ServiceSpec& spec,
                               std::size_t entry_index,
                               std::size_t entry_count) {
  ServiceRoute route;
  route.team = spec.team;
  route.timeout =
      Millis(spec.timeout_ms > 0 ? spec.timeout_ms : kDefaultTimeoutMillis);
  route.queue_limit =
      spec.queue_limit > 0 ? spec.queue_limit : kDefaultQueueLimit;
  std::vector<std::int64_t> slots;
  for (const auto& target : spec.targets) {
    const bool leaving = IsLeaving(state, target.vm);
    slots.push_back(leaving ? 0 : routing::WithPipelining(target.slots));
    route.shares.push_back({target.address, target.data_center, 0, leaving});
  }
  const std::vector<std::int64_t> shares = routing::PartitionSlots(
      slots, entry_index, entry_count, StableHash(spec.name));
  for (std::size_t i = 0; i < shares.size(); ++i) {
    route.shares[i].slots = shares[i];
  }
  return route;
}

RouteTable BuildRoutes(const state::ClusterState& state,
                       const std::string& self,
                       const std::set<std::string>& entries_up) {
  RouteTable table;
  const auto position = entries_up.find(self);
  if (position == entries_up.end()) return table;
  const auto index =
      static_cast<std::size_t>(std::distance(entries_up.begin(), position));
  for (const auto& [name, service] : state.ServiceTable()) {
    table.services[name] =
        BuildRoute(state, service.spec, index, entries_up.size());
  }
  return table;
}

}  // namespace basilspur::front
