#ifndef BASILSPUR_FRONT_ROUTE_TABLE_H_
#define BASILSPUR_FRONT_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "routing/service_router.h"
#include "state/cluster_state.h"

namespace basilspur::front {

/// The settings with which an entry routes the requests of one service.
struct ServiceRoute {
  std::string team;
  Millis timeout;  ///< For requests without a time-out of their own.
  std::int64_t queue_limit = 0;  ///< Maximum number of waiting requests.
  std::vector<routing::TargetShare> shares;
};

/// The routes of all services on one entry, by service name.
struct RouteTable {
  std::map<std::string, ServiceRoute> services;
};

/// Computes the routes of the entry `self` from the cluster state. The slots
/// are partitioned among `entries_up`; if `self` is not one of them, the table
/// is empty. Thread safety: any thread, while the state does not change.
RouteTable BuildRoutes(const state::ClusterState& state,
                       const std::string& self,
                       const std::set<std::string>& entries_up);

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_ROUTE_TABLE_H_
