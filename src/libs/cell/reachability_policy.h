#ifndef BASILSPUR_CELL_REACHABILITY_POLICY_H_
#define BASILSPUR_CELL_REACHABILITY_POLICY_H_

#include <optional>
#include <set>
#include <string>

#include "base/clock.h"

namespace basilspur::cell {

/// Decides whether an entry reports itself not ready because it is partitioned
/// from the owners of all cells, so that callers don't use up their retries on
/// it. It is meant for a few entries that are cut off while the others serve:
/// an entry stays ready if the cells may have no owners, or if another entry
/// can forward its requests. It does no input or output.
///
/// Thread safety: one thread at a time.
class ReachabilityPolicy {
 public:
  /// An owner of any cell has answered this entry.
  void OnOwnerReached(Millis now);
  /// An entry has answered that itself reaches an owner or not.
  void OnPeerAnswered(bool reaches_owner, Millis now);
  /// The entry at an address did not answer. A refused connection doesn't
  /// count: the machine is reached, and its process has ended.
  void OnNoAnswer(const std::string& address, Millis now);

  /// Whether this entry has reached an owner itself lately.
  bool ReachesOwner(Millis now) const;
  /// Whether to ask another entry if it reaches an owner. Only while this entry
  /// reaches none itself.
  bool ShouldCheckPeer(Millis now);
  /// Whether the entry reaches neither an owner nor another entry. If other
  /// entries answer that they reach no owner either, there may be none, or the
  /// owner is the one that is partitioned. `owns_cells` is whether this entry
  /// owns any cell itself.
  bool IsCutOff(bool owns_cells, Millis now) const;
  /// Since when no owner was reached despite calls; empty: one was reached.
  std::optional<Millis> FailingSince() const { return failing_since_; }
  /// Number of addresses that have not answered since FailingSince().
  std::size_t FailedAddresses() const { return failed_.size(); }

 private:
  std::optional<Millis> reached_at_;  ///< By this entry itself.
  std::optional<Millis> failing_since_;
  std::set<std::string> failed_;
  std::optional<Millis> peer_answered_at_;
  std::optional<Millis> checked_at_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_REACHABILITY_POLICY_H_
