#ifndef BASILSPUR_CELL_PEER_CONTACTS_H_
#define BASILSPUR_CELL_PEER_CONTACTS_H_

#include <string>
#include <utility>

#include "base/result.h"
#include "cell/owner_probe.h"
#include "cell/peer_list.h"
#include "cell/reachability_policy.h"

namespace basilspur::cell {

/// What an entry's calls to other entries, and theirs to it, say about which
/// entries exist and are reached.
///
/// Thread safety: one thread at a time.
class PeerContacts {
 public:
  explicit PeerContacts(std::string own_address)
      : own_address_(std::move(own_address)) {}

  /// A call to the address was answered by a process.
  void OnAnswer(const std::string& address, Millis now);
  /// A call to the address was not answered, and no connection was refused.
  void OnNoAnswer(const std::string& address, Millis now);
  /// A call to the owner at the address was served by it.
  void OnOwnerServed(const std::string& address, Millis now);
  void OnProbeAnswer(const std::string& address,
                     const Result<OwnerProbeReply>& answer, Millis now);
  /// An entry has probed this one. Completes the reply with what this entry
  /// knows of others.
  void OnProbeReceived(const OwnerProbe& probe, OwnerProbeReply& reply,
                       bool owns_cells, Millis now);

  PeerList& Peers() { return peers_; }
  ReachabilityPolicy& Reachability() { return reachability_; }
  const ReachabilityPolicy& Reachability() const { return reachability_; }

 private:
  std::string own_address_;
  PeerList peers_;
  ReachabilityPolicy reachability_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_PEER_CONTACTS_H_
