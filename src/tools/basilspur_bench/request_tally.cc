#include "request_tally.h"

#include <algorithm>

#include "quantile.h"

namespace basilspur::bench {

static constexpr double kMicrosPerMilli = 1'000;

static double Ratio(std::int64_t numerator, std::int64_t denominator) {
  return static_cast<double>(numerator) /
         static_cast<double>(std::max<std::int64_t>(1, denominator));
}

bool RequestTally::IsInFinalWindow(std::int64_t arrived_at) const {
  const std::int64_t end = window_.end - window_.deadline;
  return arrived_at >= end - window_.final_length && arrived_at < end;
}

void RequestTally::RecordArrival(std::int64_t now) {
  if (now >= window_.begin) ++arrived_;
  if (IsInFinalWindow(now)) ++arrived_in_final_window_;
}

void RequestTally::RecordRefusal(std::int64_t now) {
  if (now >= window_.begin) ++refused_;
}

void RequestTally::RecordFailure(std::int64_t now) {
  if (now >= window_.begin) ++failed_;
}

void RequestTally::RecordAnswer(std::int64_t now, std::int64_t arrived_at,
                                std::int64_t first_sent_at) {
  if (arrived_at < window_.begin) return;
  const std::int64_t latency = now - arrived_at;
  latencies_ms_.push_back(static_cast<double>(latency) / kMicrosPerMilli);
  if (latency <= window_.deadline) ++answered_in_time_;
  const bool in_time = now - first_sent_at <= window_.caller_timeout;
  if (in_time && IsInFinalWindow(first_sent_at)) ++served_in_final_window_;
}

RequestResults RequestTally::ComputeResults(double capacity) {
  std::sort(latencies_ms_.begin(), latencies_ms_.end());
  const auto answered = static_cast<std::int64_t>(latencies_ms_.size());
  RequestResults results;
  results.p50 = Quantile(latencies_ms_, 0.5);
  results.p99 = Quantile(latencies_ms_, 0.99);
  results.p999 = Quantile(latencies_ms_, 0.999);
  results.goodput = static_cast<double>(answered_in_time_) / capacity;
  results.refused_share = Ratio(refused_, arrived_);
  results.failed_share = Ratio(failed_, arrived_);
  results.late_share = Ratio(answered - answered_in_time_, arrived_);
  results.final_window_served_share =
      Ratio(served_in_final_window_, arrived_in_final_window_);
  return results;
}

}  // namespace basilspur::bench
