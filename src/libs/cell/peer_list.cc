#include "cell/peer_list.h"

#include <algorithm>
#include <tuple>

namespace basilspur::cell {

/// Bounds the memory at large deployments. Some of the entries may be lost or
/// partitioned as well.
static constexpr std::size_t kMaxPeers = 24;
/// Keeps replies to probes small.
static constexpr std::size_t kMaxNamed = 4;
/// Afterwards the entry is tried again.
static constexpr Millis kSilenceDuration(3'000);

static Millis LastSeen(Millis added_at, std::optional<Millis> answered_at) {
  return std::max(added_at, answered_at.value_or(added_at));
}

PeerList::Peer& PeerList::PeerAt(const std::string& address, Millis now) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) return found->second;
  if (peers_.size() >= kMaxPeers) {
    peers_.erase(std::min_element(
        peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
          return LastSeen(a.second.added_at, a.second.answered_at) <
                 LastSeen(b.second.added_at, b.second.answered_at);
        }));
  }
  Peer& peer = peers_[address];
  peer.added_at = now;
  return peer;
}

void PeerList::Add(const std::string& address, Millis now) {
  if (!address.empty()) PeerAt(address, now).added_at = now;
}

void PeerList::OnAnswer(const std::string& address, Millis now) {
  Peer& peer = PeerAt(address, now);
  peer.answered_at = now;
  peer.silent_at.reset();
}

void PeerList::OnNoAnswer(const std::string& address, Millis now) {
  PeerAt(address, now).silent_at = now;
}

bool PeerList::IsSilent(const std::string& address, Millis now) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.silent_at &&
         now - *found->second.silent_at < kSilenceDuration;
}

bool PeerList::HasAnsweredSince(const std::string& address,
                                Millis since) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.answered_at &&
         *found->second.answered_at >= since;
}

std::optional<std::string> PeerList::ChooseRelay(
    const std::set<std::string>& excluded, Millis now) {
  const auto rank = [](const Peer& peer) {
    return std::tuple(!peer.answered_at, peer.chosen);
  };
  auto best = peers_.end();
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (excluded.contains(it->first) || IsSilent(it->first, now)) continue;
    if (best == peers_.end() || rank(it->second) < rank(best->second))
      best = it;
  }
  if (best == peers_.end()) return std::nullopt;
  ++best->second.chosen;
  return best->first;
}

std::optional<std::string> PeerList::ChooseToCheck(Millis now) {
  const auto oldest = std::min_element(
      peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second.checked_at < b.second.checked_at;
      });
  if (oldest == peers_.end()) return std::nullopt;
  oldest->second.checked_at = now;
  return oldest->first;
}

std::vector<std::string> PeerList::ChooseToName(Millis now) {
  std::vector<std::map<std::string, Peer>::iterator> named;
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    if (!IsSilent(it->first, now)) named.push_back(it);
  }
  const std::size_t count = std::min(named.size(), kMaxNamed);
  std::partial_sort(named.begin(),
                    named.begin() + static_cast<std::ptrdiff_t>(count),
                    named.end(), [](const auto& a, const auto& b) {
                      return a->second.named < b->second.named;
                    });
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < count; ++i) {
    ++named[i]->second.named;
    addresses.push_back(named[i]->first);
  }
  return addresses;
}

}  // namespace basilspur::cell
