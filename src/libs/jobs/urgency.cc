#include "jobs/urgency.h"

#include <algorithm>

namespace basilspur::jobs {

static constexpr double kMeanGain = 0.05;
/// The slowest task of a step against the mean.
static constexpr double kSlowestTask = 1.4;
/// A job this many objectives old is of no use any more.
static constexpr double kUsefulObjectives = 3;

void Urgency::OnRunDone(const std::string& queue, Millis took) {
  const auto millis = static_cast<double>(took.count);
  const auto [found, is_new] = mean_run_ms_.try_emplace(queue, millis);
  if (!is_new) found->second += kMeanGain * (millis - found->second);
}

JobTier Urgency::TierOf(const Job& job, const QueueConfig& queue,
                        Millis now) const {
  const auto mean = mean_run_ms_.find(queue.name);
  const JobSpec& spec = job.record.spec;
  const bool timed = spec.repeats > 0 || spec.IsLongRunning();
  if (mean == mean_run_ms_.end() || timed) return JobTier::kInTime;
  const double step = mean->second * kSlowestTask;
  const double objective = queue.stretch * step * job.chain_steps +
                           static_cast<double>(queue.slack_ms);
  const auto age = static_cast<double>((now - job.accepted_at).count);
  const double done_at = age + step * job.StepsLeft();
  if (done_at <= objective) return JobTier::kInTime;
  return done_at <= kUsefulObjectives * objective ? JobTier::kLate
                                                  : JobTier::kOverdue;
}

}  // namespace basilspur::jobs
