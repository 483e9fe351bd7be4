#ifndef BASILSPUR_NET_CONNECTION_LIMITER_H_
#define BASILSPUR_NET_CONNECTION_LIMITER_H_

#include <cstddef>
#include <set>

#include "net/bounded_connection.h"

namespace basilspur::net {

class BoundedConnection;

/// Bounds the number of connections of a server. A new one takes the place of
/// another whose request is not being handled: first of those that close, then
/// of those with a part of a request, of those that don't read their response,
/// and of idle ones, each the longest waiting one first.
///
/// Thread safety: one thread at a time.
class ConnectionLimiter {
 public:
  explicit ConnectionLimiter(std::size_t max_connections)
      : max_connections_(max_connections) {}

  /// Returns whether one more connection may be added. Ends another one for it
  /// if need be.
  bool MakeRoom();
  /// Precondition: MakeRoom() has returned true. Remove has to follow.
  void Add(BoundedConnection& connection) { connections_.insert(&connection); }
  void Remove(BoundedConnection& connection);
  std::size_t Size() const { return connections_.size(); }

 private:
  std::size_t max_connections_;
  std::set<BoundedConnection*> connections_;
  /// Those that are being ended, and no longer count.
  std::set<BoundedConnection*> ending_;
};

/// Whether `a` is ended before `b`.
inline bool EndsBefore(const BoundedConnection& a, const BoundedConnection& b) {
  if (a.Phase() != b.Phase()) return a.Phase() > b.Phase();
  return a.Since() < b.Since();
}

inline bool ConnectionLimiter::MakeRoom() {
  if (connections_.size() < max_connections_) return true;
  BoundedConnection* ended = nullptr;
  for (BoundedConnection* connection : connections_) {
    if (!connection->IsEvictable()) continue;
    if (!ended || EndsBefore(*connection, *ended)) ended = connection;
  }
  if (!ended) return false;
  connections_.erase(ended);
  ending_.insert(ended);
  ended->Evict(Refusal::kConnections);
  return true;
}

inline void ConnectionLimiter::Remove(BoundedConnection& connection) {
  connections_.erase(&connection);
  ending_.erase(&connection);
}

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_CONNECTION_LIMITER_H_
