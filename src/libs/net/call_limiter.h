#ifndef BASILSPUR_NET_CALL_LIMITER_H_
#define BASILSPUR_NET_CALL_LIMITER_H_

#include <map>
#include <string>

namespace basilspur::net {

/// Bounds the calls that are under way to a peer that has not answered in time,
/// so that repeated calls don't add to the load of a peer that is slow. It does
/// no input or output.
///
/// Thread safety: one thread at a time.
class CallLimiter {
 public:
  enum class Outcome { kAnswered, kTimedOut, kFailed };

  /// 0: no limit.
  explicit CallLimiter(int max_calls_to_silent_peer)
      : max_calls_(max_calls_to_silent_peer) {}

  /// Returns whether a call to the peer may begin. If so, End has to follow.
  bool TryBegin(const std::string& address);
  /// A call has ended. The peer is silent from a time-out until it answers.
  void End(const std::string& address, Outcome outcome);

 private:
  struct Peer {
    int calls = 0;
    bool silent = false;
  };

  int max_calls_;
  std::map<std::string, Peer> peers_;  ///< Silent ones, and those with calls.
};

inline bool CallLimiter::TryBegin(const std::string& address) {
  if (max_calls_ == 0) return true;
  Peer& peer = peers_[address];
  if (peer.silent && peer.calls >= max_calls_) return false;
  ++peer.calls;
  return true;
}

inline void CallLimiter::End(const std::string& address, Outcome outcome) {
  if (max_calls_ == 0) return;
  const auto found = peers_.find(address);
  Peer& peer = found->second;
  --peer.calls;
  if (outcome == Outcome::kAnswered) peer.silent = false;
  if (outcome == Outcome::kTimedOut) peer.silent = true;
  if (peer.calls == 0 && !peer.silent) peers_.erase(found);
}

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_CALL_LIMITER_H_
