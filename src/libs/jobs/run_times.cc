#include "jobs/run_times.h"

#include <algorithm>
#include <cmath>

namespace basilspur::jobs {

/// Number of runs after which old ones lose weight exponentially.
static constexpr int kMaxRuns = 30;
/// Run times above the mean by more than this multiple of the mean absolute
/// deviation are rare: 1 of 20 in a normal distribution.
static constexpr double kUpperBoundDeviations = 2;

void RunTimes::Add(const std::string& image, Millis took) {
  Estimate& estimate = estimates_[image];
  estimate.runs = std::min(estimate.runs + 1, kMaxRuns);
  const double weight = 1.0 / estimate.runs;
  const auto run_ms = static_cast<double>(took.count);
  const double difference_ms =
      estimate.runs == 1 ? 0 : std::abs(run_ms - estimate.mean_ms);
  estimate.deviation_ms += weight * (difference_ms - estimate.deviation_ms);
  estimate.mean_ms += weight * (run_ms - estimate.mean_ms);
}

std::optional<Millis> RunTimes::Expected(const std::string& image) const {
  const auto found = estimates_.find(image);
  if (found == estimates_.end()) return std::nullopt;
  return Millis(std::llround(found->second.mean_ms));
}

std::optional<Millis> RunTimes::UpperBound(const std::string& image) const {
  const auto found = estimates_.find(image);
  if (found == estimates_.end()) return std::nullopt;
  const Estimate& estimate = found->second;
  return Millis(std::llround(estimate.mean_ms +
                             kUpperBoundDeviations * estimate.deviation_ms));
}

}  // namespace basilspur::jobs
