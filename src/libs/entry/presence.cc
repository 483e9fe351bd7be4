#include "entry/presence.h"

#include <utility>

#include "resend/once_table.h"

namespace basilspur::entry {

static constexpr Millis kHeardWindow(1'500);
static constexpr Millis kSettleLimit(800);

Presence::Presence(records::EntryRef self, const replica::Replica& replica,
                   const link::PeerMesh& mesh, const Clock& clock)
    : self_(std::move(self)),
      replica_(replica),
      mesh_(mesh),
      clock_(clock),
      started_(clock.Monotonic()) {}

void Presence::Update() {
  std::map<std::string, std::int64_t> live;
  std::map<std::string, std::int64_t> highest;
  replica_.Read([&](const state::ClusterState& state) {
    for (const auto& [name, member] : state.MemberTable()) {
      highest[name] = member.incarnation;
      if (member.live) live[name] = member.incarnation;
    }
    self_is_live_ = state.IsLive(self_);
    return 0;
  });
  const Millis now = clock_.Monotonic();
  const std::lock_guard lock(mutex_);
  for (const auto& [name, incarnation] : live_) {
    if (!live.contains(name)) gone_at_[name] = now;
  }
  live_ = std::move(live);
  highest_ = std::move(highest);
}

std::set<std::string> Presence::EntriesUp() const {
  const std::set<std::string> heard = mesh_.HeardWithin(kHeardWindow);
  const std::lock_guard lock(mutex_);
  std::set<std::string> up;
  for (const auto& [name, incarnation] : live_) {
    if (name != self_.name && heard.contains(name)) up.insert(name);
  }
  if (!stopping_) up.insert(self_.name);
  return up;
}

bool Presence::HasSettled() const {
  if (started_ + kSettleLimit <= clock_.Monotonic()) return true;
  const std::size_t up = EntriesUp().size();
  const std::lock_guard lock(mutex_);
  return up >= live_.size();
}

bool Presence::KnownToAll() const {
  if (was_known_to_all_) return true;
  const std::set<records::EntryRef> acknowledged = mesh_.Acknowledged();
  const std::lock_guard lock(mutex_);
  for (const auto& [name, incarnation] : live_) {
    if (name == self_.name) continue;
    if (!acknowledged.contains({name, incarnation})) return false;
  }
  was_known_to_all_ = true;
  return true;
}

resend::PeersToQuery Presence::PeersFor(Millis age) const {
  const std::set<records::EntryRef> introduced = mesh_.Introduced();
  const Millis now = clock_.Monotonic();
  const Millis reach = age + resend::OnceTable::kAgeMargin;
  const std::lock_guard lock(mutex_);
  resend::PeersToQuery peers;
  for (const auto& [name, incarnation] : live_) {
    if (name != self_.name) peers.names.insert(name);
  }
  for (const auto& entry : introduced) {
    const auto known = highest_.find(entry.name);
    const bool is_newer =
        known == highest_.end() || known->second < entry.incarnation;
    if (is_newer) peers.names.insert(entry.name);
  }
  for (const auto& [name, at] : gone_at_) {
    if (!live_.contains(name) && at + reach > now) peers.complete = false;
  }
  return peers;
}

}  // namespace basilspur::entry
