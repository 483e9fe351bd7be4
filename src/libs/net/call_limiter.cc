#include "net/call_limiter.h"

namespace basilspur::net {

bool CallLimiter::TryBegin(const std::string& address) {
  if (max_calls_ == 0) return true;
  Peer& peer = peers_[address];
  if (peer.silent && peer.calls >= max_calls_) return false;
  ++peer.calls;
  return true;
}

void CallLimiter::End(const std::string& address, Outcome outcome) {
  if (max_calls_ == 0) return;
  const auto found = peers_.find(address);
  Peer& peer = found->second;
  --peer.calls;
  if (outcome == Outcome::kAnswered) peer.silent = false;
  if (outcome == Outcome::kTimedOut) peer.silent = true;
  if (peer.calls == 0 && !peer.silent) peers_.erase(found);
}

}  // namespace basilspur::net
