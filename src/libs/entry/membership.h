#ifndef BASILSPUR_ENTRY_MEMBERSHIP_H_
#define BASILSPUR_ENTRY_MEMBERSHIP_H_

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/clock.h"
#include "link/peer_mesh.h"
#include "records/specs.h"
#include "replica/replica.h"
#include "resend/at_most_once_gate.h"

namespace basilspur::entry {

/// The entries of the cell as seen by this one: those that are live according
/// to the log, those that are active on links, and when others have ended.
///
/// Thread safety: any thread.
class Membership {
 public:
  /// Precondition: all arguments outlive the object.
  Membership(records::EntryRef self, const replica::Replica& replica,
             const link::PeerMesh& mesh, const Clock& clock);

  /// Updates the view from the state. Has to be called after records have been
  /// applied.
  void Update();

  /// The entries that are up, this one among them unless it is stopping.
  std::set<std::string> EntriesUp() const;

  /// True if every live entry is up, or if the time-out for that has passed
  /// since the start.
  bool HasInitialView() const;

  /// Excludes this entry from EntriesUp() from now on. Peers are notified by
  /// link::PeerMesh::AnnounceStop().
  void MarkStopping() { stopping_ = true; }

  /// True once every live entry has acknowledged this incarnation on its link;
  /// stays true from then on.
  bool IsKnownToAll() const;

  /// The peers to query about a request of this age.
  resend::PeersToQuery PeersToQueryFor(Millis age) const;

  /// False once this incarnation has ended according to the log.
  bool IsSelfLive() const { return self_is_live_; }

 private:
  const records::EntryRef self_;
  const replica::Replica& replica_;
  const link::PeerMesh& mesh_;
  const Clock& clock_;
  const Millis started_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> self_is_live_{true};
  mutable std::atomic<bool> known_to_all_{false};

  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> live_incarnations_;
  std::map<std::string, std::int64_t> highest_incarnations_;
  std::map<std::string, Millis> ended_at_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_MEMBERSHIP_H_
