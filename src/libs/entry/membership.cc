#include "entry/membership.h"

#include <utility>

#include "resend/request_history.h"

namespace basilspur::entry {

static constexpr Millis kPeerActivityWindow(1'500);
static constexpr Millis kInitialViewTimeout(800);

Membership::Membership(records::EntryRef self, const replica::Replica& replica,
                       const link::PeerMesh& mesh, const Clock& clock)
    : self_(std::move(self)),
      replica_(replica),
      mesh_(mesh),
      clock_(clock),
      started_(clock.Monotonic()) {}

void Membership::Update() {
  std::map<std::string, std::int64_t> live;
  std::map<std::string, std::int64_t> highest_incarnations;
  replica_.Read([&](const state::ClusterState& state) {
    for (const auto& [name, member] : state.MemberTable()) {
      highest_incarnations[name] = member.incarnation;
      if (member.live) live[name] = member.incarnation;
    }
    self_is_live_ = state.IsLive(self_);
    return 0;
  });
  const Millis now = clock_.Monotonic();
  const std::lock_guard lock(mutex_);
  for (const auto& [name, incarnation] : live_incarnations_) {
    if (!live.contains(name)) ended_at_[name] = now;
  }
  live_incarnations_ = std::move(live);
  highest_incarnations_ = std::move(highest_incarnations);
}

std::set<std::string> Membership::EntriesUp() const {
  const std::set<std::string> active = mesh_.ActivePeers(kPeerActivityWindow);
  const std::lock_guard lock(mutex_);
  std::set<std::string> up;
  for (const auto& [name, incarnation] : live_incarnations_) {
    if (name != self_.name && active.contains(name)) up.insert(name);
  }
  if (!stopping_) up.insert(self_.name);
  return up;
}

bool Membership::HasInitialView() const {
  if (started_ + kInitialViewTimeout <= clock_.Monotonic()) return true;
  const std::size_t up = EntriesUp().size();
  const std::lock_guard lock(mutex_);
  return up >= live_incarnations_.size();
}

bool Membership::IsKnownToAll() const {
  if (known_to_all_) return true;
  const std::set<records::EntryRef> acknowledging =
      mesh_.AcknowledgingIncarnations();
  const std::lock_guard lock(mutex_);
  for (const auto& [name, incarnation] : live_incarnations_) {
    if (name == self_.name) continue;
    if (!acknowledging.contains({name, incarnation})) return false;
  }
  known_to_all_ = true;
  return true;
}

resend::PeersToQuery Membership::PeersToQueryFor(Millis age) const {
  const std::set<records::EntryRef> seen = mesh_.SeenIncarnations();
  const Millis now = clock_.Monotonic();
  const Millis lookback = age + resend::RequestHistory::kAgeMargin;
  const std::lock_guard lock(mutex_);
  resend::PeersToQuery peers;
  for (const auto& [name, incarnation] : live_incarnations_) {
    if (name != self_.name) peers.names.insert(name);
  }
  for (const auto& entry : seen) {
    const auto known = highest_incarnations_.find(entry.name);
    const bool is_newer = known == highest_incarnations_.end() ||
                          known->second < entry.incarnation;
    if (is_newer) peers.names.insert(entry.name);
  }
  for (const auto& [name, at] : ended_at_) {
    if (!live_incarnations_.contains(name) && at + lookback > now)
      peers.complete = false;
  }
  return peers;
}

}  // namespace basilspur::entry
