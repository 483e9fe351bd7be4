#include "jobs/lease_authority.h"

namespace basilspur::jobs {

bool LeaseAuthority::CountsAsReached(Millis known_since, Millis sent,
                                     Millis now) const {
  const bool known_at_renewal =
      known_since > Millis(0) && renewed_at_ && known_since <= *renewed_at_;
  return known_at_renewal && now - sent <= settings_.reach_validity;
}

void LeaseAuthority::OnRestoredVmReached(Millis now) {
  ++reached_vms_;
  const VmReach reach{restored_vms_, reached_vms_};
  if (!most_reached_at_ && reach.IsMajority()) most_reached_at_ = now;
}

std::optional<Millis> LeaseAuthority::PredecessorStopsBy() const {
  if (!most_reached_at_) return std::nullopt;
  return *most_reached_at_ + settings_.reach_validity;
}

void LeaseAuthority::OnBatchTaken() {
  deletions_in_flight_ += pending_deletions_;
  pending_deletions_ = 0;
}

}  // namespace basilspur::jobs
