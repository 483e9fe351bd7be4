#ifndef BASILSPUR_NET_CALL_SLOTS_H_
#define BASILSPUR_NET_CALL_SLOTS_H_

#include <cstddef>
#include <list>
#include <map>
#include <string>

#include "base/clock.h"
#include "net/asio.h"
#include "net/timer.h"

namespace basilspur::net {

/// Bounds the calls that are under way to a peer, and with them the connections
/// to it. Further calls wait for their turn, in the order in which they came.
///
/// Thread safety: only from the thread that runs its io_context.
class CallSlots {
 public:
  /// 0: no limit. Precondition: `context` outlives the object.
  CallSlots(asio::io_context& context, std::size_t max_per_peer)
      : context_(context), max_per_peer_(max_per_peer) {}

  /// Waits for a slot, for `timeout` ms at most. Returns false if none became
  /// free in time. Else Release has to follow. Precondition: the object exists
  /// until the wait is over.
  asio::awaitable<bool> Acquire(std::string address, Millis timeout);
  void Release(const std::string& address);

 private:
  struct Waiter {
    explicit Waiter(asio::io_context& context) : timer(context) {}

    Timer timer;
    bool has_slot = false;
  };
  struct Peer {
    std::size_t used = 0;
    std::list<Waiter> waiters;
  };

  asio::io_context& context_;
  std::size_t max_per_peer_;
  std::map<std::string, Peer> peers_;  ///< Those with calls.
};

inline asio::awaitable<bool> CallSlots::Acquire(std::string address,
                                                Millis timeout) {
  if (max_per_peer_ == 0) co_return true;
  Peer& peer = peers_[address];
  if (peer.used < max_per_peer_) {
    ++peer.used;
    co_return true;
  }
  const auto waiter = peer.waiters.emplace(peer.waiters.end(), context_);
  waiter->timer.ExpireAfter(timeout);
  error_code ignored;
  co_await waiter->timer.AsyncWait(
      asio::redirect_error(asio::use_awaitable, ignored));
  const bool has_slot = waiter->has_slot;
  peer.waiters.erase(waiter);
  co_return has_slot;
}

inline void CallSlots::Release(const std::string& address) {
  if (max_per_peer_ == 0) return;
  const auto found = peers_.find(address);
  Peer& peer = found->second;
  for (Waiter& waiter : peer.waiters) {
    if (waiter.has_slot) continue;
    // The slot passes to the call that has waited longest.
    waiter.has_slot = true;
    waiter.timer.Cancel();
    return;
  }
  --peer.used;
  if (peer.used == 0 && peer.waiters.empty()) peers_.erase(found);
}

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_CALL_SLOTS_H_
