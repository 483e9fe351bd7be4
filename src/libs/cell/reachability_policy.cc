#include "cell/reachability_policy.h"

namespace basilspur::cell {

/// An unanswered probe takes up to 800 ms, and probes of an owner in doubt are
/// sent every 200 ms. The platform adds two seconds with its two checks.
static constexpr Millis kPatience(2'000);
/// An entry that owns no cell probes one owner a second.
static constexpr Millis kReachedDuration(2'500);
static constexpr Millis kFirstCheckDelay(400);
static constexpr Millis kCheckInterval(400);
/// One address without an answer may be a machine that was lost.
static constexpr std::size_t kMinFailedAddresses = 2;
static constexpr std::size_t kMaxFailedAddresses = 8;

void ReachabilityPolicy::OnOwnerReached(Millis now) {
  reached_at_ = now;
  failing_since_.reset();
  failed_.clear();
}

void ReachabilityPolicy::OnPeerAnswered(bool reaches_owner, Millis now) {
  peer_answered_at_ = now;
  if (!reaches_owner) return;
  failing_since_.reset();
  failed_.clear();
}

void ReachabilityPolicy::OnNoAnswer(const std::string& address, Millis now) {
  if (!failing_since_) failing_since_ = now;
  if (failed_.size() < kMaxFailedAddresses) failed_.insert(address);
}

bool ReachabilityPolicy::ReachesOwner(Millis now) const {
  return reached_at_ && now - *reached_at_ < kReachedDuration;
}

bool ReachabilityPolicy::ShouldCheckPeer(Millis now) {
  if (!failing_since_ || now - *failing_since_ < kFirstCheckDelay) return false;
  if (checked_at_ && now - *checked_at_ < kCheckInterval) return false;
  checked_at_ = now;
  return true;
}

bool ReachabilityPolicy::IsCutOff(bool owns_cells, Millis now) const {
  if (owns_cells || !failing_since_) return false;
  if (now - *failing_since_ < kPatience) return false;
  if (failed_.size() < kMinFailedAddresses) return false;
  return !peer_answered_at_ || *peer_answered_at_ < *failing_since_;
}

}  // namespace basilspur::cell
