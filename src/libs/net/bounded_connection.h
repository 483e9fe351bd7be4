#ifndef BASILSPUR_NET_BOUNDED_CONNECTION_H_
#define BASILSPUR_NET_BOUNDED_CONNECTION_H_

#include <chrono>
#include <cstddef>

#include "net/refusal.h"

namespace basilspur::net {

/// What a server does on a connection. A connection with a higher value is
/// ended first when there are too many.
enum class ConnectionPhase {
  kHandling,  ///< A request is being handled; the connection is kept.
  kWaiting,   ///< For a request, after others were answered.
  kWriting,   ///< A response that the client has not read yet.
  kReading,   ///< The first request, or a part of a later one.
  kClosing,   ///< The last response was sent.
};

/// A connection that a server may end to bound what all of them hold.
///
/// Thread safety: one thread at a time.
class BoundedConnection {
 public:
  using Time = std::chrono::steady_clock::time_point;

  BoundedConnection() = default;
  virtual ~BoundedConnection() = default;
  BoundedConnection(const BoundedConnection&) = delete;
  BoundedConnection& operator=(const BoundedConnection&) = delete;

  /// Begins to end the connection. Precondition: IsEvictable().
  virtual void Evict(Refusal reason) = 0;
  /// Whether it may be ended, and is not being ended yet.
  bool IsEvictable() const {
    return phase_ != ConnectionPhase::kHandling && !evicted_;
  }

  ConnectionPhase Phase() const { return phase_; }
  /// When the phase began.
  Time Since() const { return since_; }
  /// Bytes that it holds: see MemoryBudget.
  std::size_t HeldBytes() const { return held_bytes_; }

 protected:
  void Enter(ConnectionPhase phase) {
    phase_ = phase;
    since_ = std::chrono::steady_clock::now();
  }
  void MarkEvicted() { evicted_ = true; }
  bool IsEvicted() const { return evicted_; }

 private:
  friend class MemoryBudget;

  ConnectionPhase phase_ = ConnectionPhase::kReading;
  Time since_ = std::chrono::steady_clock::now();
  std::size_t held_bytes_ = 0;
  bool evicted_ = false;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_BOUNDED_CONNECTION_H_
