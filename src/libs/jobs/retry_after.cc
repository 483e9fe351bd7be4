#include "jobs/retry_after.h"

#include <algorithm>

#include "base/hashing.h"

namespace basilspur::jobs {

/// A caller retries 4 times only, so a longer pause than this is of no use.
static constexpr std::int64_t kMaxSeconds = 60;
static constexpr std::int64_t kMillisPerSecond = 1'000;

std::int64_t RetryAfterSeconds(std::string_view job, Millis wait) {
  const std::int64_t waited = std::max<std::int64_t>(wait.count, 0);
  const std::int64_t seconds = std::clamp<std::int64_t>(
      (waited + kMillisPerSecond - 1) / kMillisPerSecond, 1, kMaxSeconds);
  const std::int64_t spread = 1 + seconds / 2;
  const auto choices = static_cast<std::uint64_t>(spread + 1);
  return seconds + static_cast<std::int64_t>(StableHash(job) % choices);
}

}  // namespace basilspur::jobs
