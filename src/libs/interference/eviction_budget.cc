#include "interference/eviction_budget.h"

#include <algorithm>

namespace basilspur::interference {

static constexpr double kMillisPerMinute = 60'000;

EvictionBudget::EvictionBudget(double per_minute)
    : per_minute_(per_minute),
      capacity_(std::max(per_minute, 1.0)),
      tokens_(capacity_) {}

bool EvictionBudget::TryTake(Millis now) {
  const auto elapsed_ms = static_cast<double>((now - last_refill_).count);
  last_refill_ = now;
  tokens_ = std::min(tokens_ + elapsed_ms * per_minute_ / kMillisPerMinute,
                     capacity_);
  if (tokens_ < 1) return false;
  --tokens_;
  return true;
}

}  // namespace basilspur::interference
