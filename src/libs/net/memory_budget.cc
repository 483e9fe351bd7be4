#include "net/memory_budget.h"

#include "net/bounded_connection.h"

namespace basilspur::net {

bool MemoryBudget::Resize(BoundedConnection& connection, std::size_t bytes) {
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

void MemoryBudget::Release(BoundedConnection& connection) {
  SetBytes(connection, 0);
}

void MemoryBudget::SetBytes(BoundedConnection& connection, std::size_t bytes) {
  held_bytes_ = held_bytes_ - connection.held_bytes_ + bytes;
  connection.held_bytes_ = bytes;
  if (bytes > 0) {
    connections_.insert(&connection);
  } else {
    connections_.erase(&connection);
  }
}

BoundedConnection* MemoryBudget::FindLargest() const {
  BoundedConnection* largest = nullptr;
  for (BoundedConnection* connection : connections_) {
    if (!connection->IsEvictable()) continue;
    if (!largest || connection->HeldBytes() > largest->HeldBytes())
      largest = connection;
  }
  return largest;
}

}  // namespace basilspur::net
