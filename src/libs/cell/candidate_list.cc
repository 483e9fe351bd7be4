#include "cell/candidate_list.h"

#include <algorithm>
#include <utility>

namespace basilspur::cell {

static constexpr Millis kCandidacyTimeout(3'500);
/// Candidates probe the owner each second.
static constexpr Millis kMaxSuccessorSilence(1'500);

std::pair<bool, bool> CandidateList::RankOf(const Candidate& candidate) const {
  const bool shares_data_center = std::any_of(
      candidates_.begin(), candidates_.end(), [&](const Candidate& other) {
        return other.incarnation != candidate.incarnation &&
               other.data_center == candidate.data_center;
      });
  return {candidate.burdened, shares_data_center};
}

bool CandidateList::OnProbe(const OwnerProbe& probe, Millis now) {
  std::erase_if(candidates_, [&](const Candidate& candidate) {
    return now - candidate.probed_at > kCandidacyTimeout;
  });
  if (probe.abstains) {
    std::erase_if(candidates_, [&](const Candidate& candidate) {
      return candidate.incarnation == probe.incarnation;
    });
    return false;
  }
  const Candidate asking{probe.incarnation, probe.data_center, probe.burdened,
                         now};
  const auto found = std::find_if(
      candidates_.begin(), candidates_.end(), [&](const Candidate& candidate) {
        return candidate.incarnation == asking.incarnation;
      });
  if (found != candidates_.end()) {
    *found = asking;
    return true;
  }
  if (candidates_.size() < max_candidates_) {
    candidates_.push_back(asking);
    return true;
  }
  if (candidates_.empty()) return false;
  const auto worst =
      std::max_element(candidates_.begin(), candidates_.end(),
                       [&](const Candidate& a, const Candidate& b) {
                         return RankOf(a) < RankOf(b);
                       });
  const Candidate replaced = std::exchange(*worst, asking);
  if (RankOf(asking) < RankOf(replaced)) return true;
  *worst = replaced;
  return false;
}

std::string CandidateList::ChooseSuccessor(Millis now) const {
  const Candidate* best = nullptr;
  for (const Candidate& candidate : candidates_) {
    if (now - candidate.probed_at > kMaxSuccessorSilence) continue;
    const bool better = !best || candidate.burdened < best->burdened ||
                        (candidate.burdened == best->burdened &&
                         candidate.probed_at > best->probed_at);
    if (better) best = &candidate;
  }
  return best ? best->incarnation : "";
}

}  // namespace basilspur::cell
