#include "entry/route_updater.h"

#include <chrono>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "entry/membership.h"
#include "front/front.h"
#include "link/peer_mesh.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// Entries can become active or unreachable on links without a record in the
/// log, so the entries that are up have to be polled.
static constexpr std::chrono::milliseconds kMembershipPollInterval(50);

RouteUpdater::RouteUpdater(records::EntryRef self,
                           const replica::Replica& replica,
                           const Membership& membership, link::PeerMesh& mesh,
                           front::Front& front)
    : self_(std::move(self)),
      replica_(replica),
      membership_(membership),
      mesh_(mesh),
      front_(front) {}

RouteUpdater::~RouteUpdater() { Stop(); }

void RouteUpdater::Start() {
  thread_ = std::thread([this] { Run(); });
}

void RouteUpdater::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void RouteUpdater::RequestUpdate() {
  {
    const std::lock_guard lock(mutex_);
    update_requested_ = true;
  }
  wakeup_.notify_all();
}

void RouteUpdater::Run() {
  for (;;) {
    Step();
    WaitForChange();
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
  }
}

void RouteUpdater::WaitForChange() {
  std::unique_lock lock(mutex_);
  wakeup_.wait_for(lock, kMembershipPollInterval,
                   [this] { return update_requested_ || stopping_; });
  update_requested_ = false;
}

void RouteUpdater::Step() {
  std::set<std::string> up = membership_.EntriesUp();
  up.insert(self_.name);
  const bool up_changed = up != entries_up_;
  entries_up_ = std::move(up);
  std::int64_t offset = 0;
  std::map<std::string, std::string> links;
  std::shared_ptr<const front::RouteTable> routes;
  replica_.Read([&](const state::ClusterState& state) {
    offset = state.Offset();
    if (!up_changed && state.RoutingRevision() == routing_revision_) return 0;
    routing_revision_ = state.RoutingRevision();
    routes = std::make_shared<front::RouteTable>(
        front::BuildRoutes(state, self_.name, entries_up_));
    for (const auto& [name, member] : state.MemberTable()) {
      if (!member.live || name == self_.name) continue;
      links[name] = member.spec.link_address;
    }
    return 0;
  });
  if (routes) ApplyRoutes(std::move(routes), std::move(links));
  offset_in_force_ = offset;
}

void RouteUpdater::ApplyRoutes(std::shared_ptr<const front::RouteTable> routes,
                               std::map<std::string, std::string> links) {
  std::vector<std::string> peers;
  for (const auto& name : entries_up_) {
    if (name != self_.name) peers.push_back(name);
  }
  mesh_.SetPeers(std::move(links));
  front_.SetPeers(std::move(peers));
  front_.SetRoutes(std::move(routes));
}

}  // namespace basilspur::entry
