#include "interference/mix_history.h"

namespace basilspur::interference {

/// Mixes are kept for this long; older measurements can't be matched.
static constexpr Millis kHistoryLength(120'000);

void MixHistory::Add(const Mix& mix, Millis now) {
  if (entries_.empty() || entries_.back().mix != mix) {
    entries_.push_back({now, mix});
  }
  while (entries_.size() > 1 && entries_[1].since + kHistoryLength < now) {
    entries_.pop_front();
  }
}

const Mix* MixHistory::StableMixAt(Millis at, Millis min_duration) const {
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (entry->since > at) continue;
    return entry->since + min_duration <= at ? &entry->mix : nullptr;
  }
  return nullptr;
}

}  // namespace basilspur::interference
