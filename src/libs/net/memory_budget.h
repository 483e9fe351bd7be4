#ifndef BASILSPUR_NET_MEMORY_BUDGET_H_
#define BASILSPUR_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <set>

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

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_MEMORY_BUDGET_H_
