#ifndef BASILSPUR_CELL_CANDIDATE_LIST_H_
#define BASILSPUR_CELL_CANDIDATE_LIST_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/owner_probe.h"

namespace basilspur::cell {

/// An owner's choice of the entries that follow its renewals in the store, to
/// take the cell over when they stop. If all entries did, the calls to the
/// store would grow with entries times cells.
///
/// Thread safety: one thread at a time.
class CandidateList {
 public:
  explicit CandidateList(std::size_t max_candidates)
      : max_candidates_(max_candidates) {}

  /// An entry has probed the owner. Returns whether it is a candidate. An entry
  /// that does not probe any more, or says that it abstains, loses its place.
  bool OnProbe(const OwnerProbe& probe, Millis now);

  /// Returns the incarnation of the candidate that should take the cell over
  /// when it is released at `now`: one that has probed lately, not burdened if
  /// possible. Empty if there is none.
  std::string ChooseSuccessor(Millis now) const;

  std::size_t Size() const { return candidates_.size(); }

 private:
  struct Candidate {
    std::string incarnation;
    std::string data_center;
    bool burdened = false;
    Millis probed_at;
  };

  /// Lower values are better: burdened, then in the data center of another
  /// candidate.
  std::pair<bool, bool> RankOf(const Candidate& candidate) const;

  std::size_t max_candidates_;
  std::vector<Candidate> candidates_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CANDIDATE_LIST_H_
