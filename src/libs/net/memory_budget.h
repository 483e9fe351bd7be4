#ifndef BASILSPUR_NET_MEMORY_BUDGET_H_
#define BASILSPUR_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <set>

#include "net/bounded_connection.h"

namespace basilspur::net {

class BoundedConnection;

/// Bounds the sum of what the connections of one or several servers hold: what
/// was read and is not answered yet, and answers that are not read yet. Beyond
/// it the largest connections are ended whose requests are not being handled,
/// so that small requests still pass.
///
/// Thread safety: one thread at a time.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// The connection holds `bytes` from now on. Ends others, or this one too, if
  /// the sum is too large. Returns whether there is room: if not, and if the
  /// connection is not being ended, no other one could be.
  bool Resize(BoundedConnection& connection, std::size_t bytes);
  /// The connection holds nothing any more. Call before its end.
  void Release(BoundedConnection& connection);
  std::size_t HeldBytes() const { return held_bytes_; }

 private:
  /// Returns the largest connection that may be ended, or null.
  BoundedConnection* FindLargest() const;
  void SetBytes(BoundedConnection& connection, std::size_t bytes);

  std::size_t max_bytes_;
  std::size_t held_bytes_ = 0;
  std::set<BoundedConnection*> connections_;  ///< Those that hold anything.
};

inline bool MemoryBudget::Resize(BoundedConnection& connection,
                                 std::size_t bytes) {
  SetBytes(connection, bytes);
  while (held_bytes_ > max_bytes_) {
    BoundedConnection* largest = FindLargest();
    if (!largest) return false;
    // Its bytes are freed in the next round of the event loop.
    SetBytes(*largest, 0);
    largest->Evict(Refusal::kMemory);
  }
  return true;
}

inline void MemoryBudget::Release(BoundedConnection& connection) {
  SetBytes(connection, 0);
}

inline void MemoryBudget::SetBytes(BoundedConnection& connection,
                                   std::size_t bytes) {
  held_bytes_ = held_bytes_ - connection.held_bytes_ + bytes;
  connection.held_bytes_ = bytes;
  if (bytes > 0) {
    connections_.insert(&connection);
  } else {
    connections_.erase(&connection);
  }
}

inline BoundedConnection* MemoryBudget::FindLargest() const {
  BoundedConnection* largest = nullptr;
  for (BoundedConnection* connection : connections_) {
    if (!connection->IsEvictable()) continue;
    if (!largest || connection->HeldBytes() > largest->HeldBytes())
      largest = connection;
  }
  return largest;
}

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_MEMORY_BUDGET_H_
