#include "cell/follow_policy.h"

#include <algorithm>

namespace basilspur::cell {

/// Has to exceed the time that an owner's silence takes to be certain, and the
/// claim that follows.
static constexpr Millis kDoubtDuration(5'000);
static constexpr Millis kCandidacyDuration(4'000);
static constexpr Millis kDoubtedProbeInterval(200);
static constexpr Millis kCandidateProbeInterval(1'000);
/// An entry that owns no cell probes one of the owners at this interval.
static constexpr Millis kIdleProbeInterval(1'000);
/// An entry that owns cells probes one of the other owners at this interval, so
/// that it knows their loads.
static constexpr Millis kOwnerProbeInterval(80);

FollowPolicy::FollowPolicy(int cells, std::uint64_t seed)
    : cells_(cells), random_(seed) {}

void FollowPolicy::OnOwnerAnswered(bool candidate, Millis now) {
  doubted_until_ = Millis(0);
  candidate_until_ = candidate ? now + kCandidacyDuration : Millis(0);
}

void FollowPolicy::OnOwnerDoubted(Millis now) {
  doubted_until_ = now + kDoubtDuration;
}

bool FollowPolicy::ShouldFollow(OwnerKnowledge known, Millis now) const {
  if (known != OwnerKnowledge::kOther) return true;
  return now < doubted_until_ || now < candidate_until_;
}

Millis FollowPolicy::ProbeInterval(bool owns_cells, Millis now) const {
  if (now < doubted_until_) return kDoubtedProbeInterval;
  const Millis rotation =
      (owns_cells ? kOwnerProbeInterval : kIdleProbeInterval) * cells_;
  if (now < candidate_until_) return kCandidateProbeInterval;
  return std::max(rotation, kCandidateProbeInterval);
}

bool FollowPolicy::ShouldProbe(OwnerKnowledge known, bool owns_cells,
                               Millis now) {
  if (known != OwnerKnowledge::kOther) return false;
  const Millis interval = ProbeInterval(owns_cells, now);
  if (!probed_) {
    // The cells' probes are spread over the interval.
    probed_ = true;
    const auto range = static_cast<std::uint64_t>(interval.count);
    probed_at_ = now - Millis(static_cast<std::int64_t>(random_.Below(range)));
  }
  if (now - probed_at_ < interval) return false;
  probed_at_ = now;
  return true;
}

}  // namespace basilspur::cell
