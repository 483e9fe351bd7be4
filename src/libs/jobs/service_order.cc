#include "jobs/service_order.h"

#include <algorithm>

namespace basilspur::jobs {

static constexpr double kMeanGain = 0.05;
/// The slowest task of a step against the mean.
static constexpr double kSlowestTask = 1.3;
/// Of the time that a job can spare, before it is deferred. The rest is for
/// waits between its steps.
static constexpr double kPatienceShare = 0.5;

void ServiceOrder::OnRunDone(const std::string& queue, Millis took) {
  const auto millis = static_cast<double>(took.count);
  const auto [found, is_new] = mean_run_ms_.try_emplace(queue, millis);
  if (!is_new) found->second += kMeanGain * (millis - found->second);
}

Millis ServiceOrder::PatienceOf(const Job& job, const QueueConfig& queue,
                                double step_ms) const {
  const double chain = step_ms * job.record.spec.LongestChain();
  const double spare = (queue.objective_factor - 1) * chain +
                       static_cast<double>(queue.slack_ms);
  const double patience = kPatienceShare * std::max(spare, 0.0);
  return Millis(static_cast<std::int64_t>(patience));
}

JobTier ServiceOrder::TierOf(const Job& job, const QueueConfig& queue,
                             Millis now) const {
  const bool was_deferred =
      job.tier == JobTier::kDeferred || job.tier == JobTier::kDeferredStarted;
  if (job.started) {
    return was_deferred ? JobTier::kDeferredStarted : JobTier::kStarted;
  }
  const auto mean = mean_run_ms_.find(queue.name);
  const JobSpec& spec = job.record.spec;
  const bool has_objective = spec.repeats == 0 && !spec.IsLongRunning();
  if (mean == mean_run_ms_.end() || !has_objective) return JobTier::kOnTime;
  const Millis patience = PatienceOf(job, queue, mean->second * kSlowestTask);
  const bool waited = now - job.accepted_at > patience;
  return was_deferred || waited ? JobTier::kDeferred : JobTier::kOnTime;
}

}  // namespace basilspur::jobs
