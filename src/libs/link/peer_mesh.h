#ifndef BASILSPUR_LINK_PEER_MESH_H_
#define BASILSPUR_LINK_PEER_MESH_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "link/messages.h"
#include "records/specs.h"

namespace basilspur::link {

/// Links to all other entries, monitored by heartbeats. A connection on which
/// heartbeats are not answered is closed and established again.
///
/// Thread safety: any thread, except where noted.
class PeerMesh {
 public:
  /// Called on the mesh's thread for each message of a peer, except those that
  /// maintain the link itself.
  using Handler =
      std::function<void(const records::EntryRef& peer, const Message&)>;

  /// Precondition: `clock` outlives the mesh.
  PeerMesh(records::EntryRef self, const Clock& clock, Handler handler);
  ~PeerMesh();

  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  /// Binds the address and starts the mesh's thread.
  Status Start(const std::string& listen_address);
  void Stop();

  /// Sets the peers to which links are maintained: link address by name.
  void SetPeers(std::map<std::string, std::string> addresses);

  /// Notifies peers, with a heartbeat at once and with all later ones, that
  /// this entry is stopping.
  void AnnounceStop();

  /// Sends a message. Returns false if there is no open link to the peer. True
  /// does not mean that the message arrives.
  bool Send(const std::string& peer, const Message& message);

  /// The peers from which a message was received within `window`, without those
  /// that have announced that they are stopping.
  std::set<std::string> ActivePeers(Millis window) const;

  /// All incarnations from which this process has ever received a Hello.
  std::set<records::EntryRef> SeenIncarnations() const;

  /// All incarnations that have acknowledged this one by answering a heartbeat.
  std::set<records::EntryRef> AcknowledgingIncarnations() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::link

#endif  // BASILSPUR_LINK_PEER_MESH_H_
