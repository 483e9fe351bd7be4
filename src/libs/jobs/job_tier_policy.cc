#include "jobs/job_tier_policy.h"

#include <algorithm>

#include "jobs/late_job_order.h"

namespace basilspur::jobs {

/// Weight of a new run time in a queue's exponentially weighted mean.
static constexpr double kMeanSmoothingFactor = 0.05;
/// Assumed run time of a step's slowest task as a multiple of the mean.
static constexpr double kSlowestTaskFactor = 1.3;
/// Share of its slack for which a job may wait before it is deferred. The rest
/// is left for waits between its steps.
static constexpr double kMaxWaitShare = 0.5;

void JobTierPolicy::OnRunDone(const std::string& queue, Millis took) {
  const auto run_ms = static_cast<double>(took.count);
  const auto [found, is_new] = mean_run_ms_.try_emplace(queue, run_ms);
  if (!is_new) found->second += kMeanSmoothingFactor * (run_ms - found->second);
}

Millis JobTierPolicy::MaxWaitOf(const Job& job, const QueueConfig& queue,
                                double step_ms) const {
  const double chain_ms = step_ms * job.record.spec.LongestChain();
  const double spare_ms = (queue.objective_factor - 1) * chain_ms +
                          static_cast<double>(queue.slack_ms);
  const double max_wait = kMaxWaitShare * std::max(spare_ms, 0.0);
  return Millis(static_cast<std::int64_t>(max_wait));
}

std::optional<Millis> JobTierPolicy::MaxWaitBeforeDeferral(
    const Job& job, const QueueConfig& queue) const {
  const auto mean = mean_run_ms_.find(queue.name);
  const JobSpec& spec = job.record.spec;
  const bool has_objective = spec.repeats == 0 && !spec.IsLongRunning();
  if (mean == mean_run_ms_.end() || !has_objective) return std::nullopt;
  return MaxWaitOf(job, queue, mean->second * kSlowestTaskFactor);
}

JobTier JobTierPolicy::TierOf(const Job& job, const QueueConfig& queue,
                              Millis now) const {
  const bool was_deferred =
      job.tier == JobTier::kDeferred || job.tier == JobTier::kDeferredStarted;
  if (job.started && !job.started_by_relief_only) {
    return was_deferred ? JobTier::kDeferredStarted : JobTier::kStarted;
  }
  const std::optional<Millis> max_wait = MaxWaitBeforeDeferral(job, queue);
  if (!max_wait) return JobTier::kOnTime;
  const bool waited_too_long = now - job.accepted_at > *max_wait;
  return was_deferred || waited_too_long ? JobTier::kDeferred
                                         : JobTier::kOnTime;
}

double JobTierPolicy::StepMsOf(const QueueConfig& queue) const {
  const auto mean = mean_run_ms_.find(queue.name);
  return mean == mean_run_ms_.end() ? 0 : mean->second * kSlowestTaskFactor;
}

bool JobTierPolicy::IsLate(const Job& job, const QueueConfig& queue,
                           Millis now) const {
  const double step_ms = StepMsOf(queue);
  const JobSpec& spec = job.record.spec;
  if (step_ms == 0 || spec.repeats > 0 || spec.IsLongRunning()) return false;
  const bool deferred =
      job.tier == JobTier::kDeferred || job.tier == JobTier::kDeferredStarted;
  return deferred ||
         now - job.accepted_at > LateJobOrder::ObjectiveOf(job, queue, step_ms);
}

}  // namespace basilspur::jobs
