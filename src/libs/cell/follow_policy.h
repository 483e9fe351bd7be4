#ifndef BASILSPUR_CELL_FOLLOW_POLICY_H_
#define BASILSPUR_CELL_FOLLOW_POLICY_H_

#include <cstdint>

#include "base/clock.h"
#include "base/random.h"

namespace basilspur::cell {

/// What an entry knows of a cell's owner.
enum class OwnerKnowledge {
  kNone,   ///< No record of an owner was read, or the newest one is vacant.
  kSelf,   ///< This entry owns the cell.
  kOther,  ///< Another entry owned it according to the newest record read.
};

/// Decides, for one cell, whether an entry follows the owner's renewals in the
/// store, and when it probes the owner instead. Following costs a call to the
/// store for each renewal, a probe costs a request between two entries. So only
/// candidates follow, and entries that have a reason to doubt what they know.
///
/// Thread safety: one thread at a time.
class FollowPolicy {
 public:
  /// Precondition: cells > 0.
  FollowPolicy(int cells, std::uint64_t seed);

  /// The owner has answered a probe, and has made this entry a candidate or
  /// not.
  void OnOwnerAnswered(bool candidate, Millis now);
  /// The known owner did not answer, or it is not certain to own the cell.
  void OnOwnerDoubted(Millis now);

  bool IsCandidate(Millis now) const { return now < candidate_until_; }
  bool IsCandidateInDoubt(Millis now) const {
    return now < candidate_until_ && now < doubted_until_;
  }
  bool ShouldFollow(OwnerKnowledge known, Millis now) const;
  /// Returns whether to send a probe now. `owns_cells` is whether the entry
  /// owns any cell: owners need the loads of other cells.
  bool ShouldProbe(OwnerKnowledge known, bool owns_cells, Millis now);

 private:
  Millis ProbeInterval(bool owns_cells, Millis now) const;

  int cells_;
  Random random_;
  Millis doubted_until_;
  Millis candidate_until_;
  Millis probed_at_;
  bool probed_ = false;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_FOLLOW_POLICY_H_
