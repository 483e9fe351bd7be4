#include "cell/peer_contacts.h"

namespace basilspur::cell {

void PeerContacts::OnAnswer(const std::string& address, Millis now) {
  peers_.OnAnswer(address, now);
}

void PeerContacts::OnNoAnswer(const std::string& address, Millis now) {
  peers_.OnNoAnswer(address, now);
  reachability_.OnNoAnswer(address, now);
}

void PeerContacts::OnOwnerServed(const std::string& address, Millis now) {
  peers_.OnAnswer(address, now);
  reachability_.OnOwnerReached(now);
}

void PeerContacts::OnProbeAnswer(const std::string& address,
                                 const Result<OwnerProbeReply>& answer,
                                 Millis now) {
  if (!IsOk(answer)) {
    if (ErrorOf(answer).code != ErrorCode::kRefused) OnNoAnswer(address, now);
    return;
  }
  const OwnerProbeReply& reply = ValueOf(answer);
  peers_.OnAnswer(address, now);
  for (const std::string& peer : reply.peers) {
    if (peer != own_address_) peers_.Add(peer, now);
  }
  if (reply.owns) {
    reachability_.OnOwnerReached(now);
  } else {
    reachability_.OnPeerAnswered(reply.reaches_owner, now);
  }
}

void PeerContacts::OnProbeReceived(const OwnerProbe& probe,
                                   OwnerProbeReply& reply, bool owns_cells,
                                   Millis now) {
  reply.peers = peers_.ChooseToName(now);
  reply.reaches_owner = owns_cells || reachability_.ReachesOwner(now);
  peers_.Add(probe.address, now);
}

}  // namespace basilspur::cell
