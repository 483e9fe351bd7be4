#include "cell/owner_outlook.h"

#include <algorithm>

namespace basilspur::cell {

/// A change of owner takes 0.6 to 2.5 s: up to 2.2 s of silence, the claim, and
/// reading the journal.
static constexpr Millis kMaxChange(2'800);

static constexpr int kTellingRenewals = 2;

void OwnerOutlook::OnOwnerMissing(Millis now) {
  const bool was_missed = noted_at_ && now - *noted_at_ < kMaxChange;
  if (!was_missed) OnOwnerServed();
  noted_at_ = now;
  if (!missing_since_) missing_since_ = now;
  missed_since_renewal_ = renewals_ >= kTellingRenewals;
}

void OwnerOutlook::OnOwnerServed() {
  missing_since_.reset();
  OnOwnerTakingOver();
}

void OwnerOutlook::OnOwnerRenewed() {
  if (missing_since_) ++renewals_;
}

void OwnerOutlook::OnOwnerChanged(Millis now) {
  missing_since_ = noted_at_ = now;
  OnOwnerTakingOver();
}

bool OwnerOutlook::IsChanging(Millis now) const {
  return missing_since_ && !missed_since_renewal_ &&
         now - *missing_since_ < kMaxChange;
}

Millis OwnerOutlook::ExpectedIn(Millis now) const {
  if (!missing_since_) return Millis(0);
  return std::max(*missing_since_ + kMaxChange - now, Millis(0));
}

}  // namespace basilspur::cell
