#ifndef BASILSPUR_ENTRY_PRESENCE_H_
#define BASILSPUR_ENTRY_PRESENCE_H_

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/clock.h"
#include "link/peer_mesh.h"
#include "records/specs.h"
#include "replica/replica.h"
#include "resend/once_gate.h"

namespace basilspur::entry {

/// Which entries there are: live by the log, heard of over links, gone, and
/// since when.
///
/// Thread safety: any thread.
class Presence {
 public:
  /// Precondition: all arguments outlive the object.
  Presence(records::EntryRef self, const replica::Replica& replica,
           const link::PeerMesh& mesh, const Clock& clock);

  /// Takes changes of the log in. Call after records were taken in.
  void Update();

  /// The entries that are up, this one among them unless it is stopping.
  std::set<std::string> EntriesUp() const;

  /// True once every live entry was heard of, or enough time has passed.
  bool HasSettled() const;

  /// From now on this entry is not up any more, for itself and its peers.
  void StartStopping() { stopping_ = true; }

  /// True once every live entry knows of this one.
  bool KnownToAll() const;

  /// Whom to ask about a request of this age.
  resend::PeersToQuery PeersFor(Millis age) const;

  /// False once the log says that this incarnation has ended.
  bool SelfIsLive() const { return self_is_live_; }

 private:
  const records::EntryRef self_;
  const replica::Replica& replica_;
  const link::PeerMesh& mesh_;
  const Clock& clock_;
  const Millis started_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> self_is_live_{true};
  mutable std::atomic<bool> was_known_to_all_{false};

  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> live_;
  std::map<std::string, std::int64_t> highest_;
  std::map<std::string, Millis> gone_at_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_PRESENCE_H_
