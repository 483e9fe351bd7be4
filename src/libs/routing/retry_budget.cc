#include "routing/retry_budget.h"

#include <algorithm>

namespace basilspur::routing {

void RetryBudget::RecordSuccess() {
  available_retries_ =
      std::min(kMaxRetries, available_retries_ + kRetriesPerSuccess);
}

bool RetryBudget::TryTake() {
  if (available_retries_ < 1) return false;
  available_retries_ -= 1;
  return true;
}

}  // namespace basilspur::routing
