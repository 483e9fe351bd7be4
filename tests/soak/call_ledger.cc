#include "soak/call_ledger.h"

#include <algorithm>

namespace basilspur::soak {

void CallLedger::AddJob(const std::string& job, SubmittedJob submitted) {
  const std::lock_guard lock(mutex_);
  jobs_[job] = submitted;
}

void CallLedger::MarkCancelled(const std::string& job) {
  const std::lock_guard lock(mutex_);
  jobs_[job].cancelled = true;
}

void CallLedger::CountRequest(bool served, Millis took) {
  const std::lock_guard lock(mutex_);
  ++requests_;
  if (!served) return;
  ++served_;
  times_ms_.push_back(took.count);
}

Millis CallLedger::ServedWithin(int percent) const {
  if (times_ms_.empty()) return Millis(0);
  std::vector<std::int64_t> sorted = times_ms_;
  std::sort(sorted.begin(), sorted.end());
  return Millis(sorted[(sorted.size() - 1) * percent / 100]);
}

void CallLedger::CountAttempt(unsigned status) {
  const std::lock_guard lock(mutex_);
  ++attempts_[status];
}

void CallLedger::AddCut(const std::string& description) {
  const std::lock_guard lock(mutex_);
  cuts_.push_back(description);
}

}  // namespace basilspur::soak
