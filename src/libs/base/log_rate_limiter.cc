#include "base/log_rate_limiter.h"

#include <algorithm>

namespace basilspur {

static constexpr std::string_view kEventField = "event=";
static constexpr double kMillisPerSecond = 1'000;

std::string_view LogRateLimiter::EventNameOf(std::string_view message) {
  if (!message.starts_with(kEventField)) return {};
  message.remove_prefix(kEventField.size());
  return message.substr(0, message.find(' '));
}

std::int64_t LogRateLimiter::Admit(std::string_view message, Millis now) {
  const std::string_view event_name = EventNameOf(message);
  auto found = buckets_.find(event_name);
  if (found == buckets_.end()) {
    found = buckets_.emplace(event_name, Bucket{limits_.burst, now, 0}).first;
  }
  Bucket& bucket = found->second;
  const double seconds =
      static_cast<double>((now - bucket.refilled_at).count) / kMillisPerSecond;
  bucket.tokens = std::min(limits_.burst,
                           bucket.tokens + seconds * limits_.lines_per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.left_out;
    return -1;
  }
  bucket.tokens -= 1;
  const std::int64_t left_out = bucket.left_out;
  bucket.left_out = 0;
  return left_out;
}

void LogRateLimiter::OnLinesDropped(std::string_view message,
                                    std::int64_t lines) {
  const auto found = buckets_.find(EventNameOf(message));
  if (found != buckets_.end()) found->second.left_out += lines;
}

}  // namespace basilspur
