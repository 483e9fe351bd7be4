#include "net/connection_limiter.h"

#include "net/bounded_connection.h"

namespace basilspur::net {

/// Whether `a` is ended before `b`.
static bool EndsBefore(const BoundedConnection& a, const BoundedConnection& b) {
  if (a.Phase() != b.Phase()) return a.Phase() > b.Phase();
  return a.Since() < b.Since();
}

bool ConnectionLimiter::MakeRoom() {
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

void ConnectionLimiter::Remove(BoundedConnection& connection) {
  connections_.erase(&connection);
  ending_.erase(&connection);
}

}  // namespace basilspur::net
