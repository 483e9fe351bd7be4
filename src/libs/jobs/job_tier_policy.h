#ifndef BASILSPUR_JOBS_JOB_TIER_POLICY_H_
#define BASILSPUR_JOBS_JOB_TIER_POLICY_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "jobs/catalog.h"
#include "jobs/job.h"

namespace basilspur::jobs {

/// Decides which jobs of a queue are placed first when the VMs can't complete
/// all of them within the queue's latency objective.
///
/// During a sustained overload, first come, first served would delay each job
/// until it just misses its objective. Therefore, a job none of whose tasks has
/// started is deferred behind later jobs once it has waited for a part of its
/// slack. The jobs ahead of it then meet their objectives, and deferred jobs
/// run when capacity becomes free. Jobs that have started come first, as their
/// completed work would otherwise be wasted. A relief run does not count as a
/// start, or each job that has waited would come before all that are on time.
///
/// Estimates declared by callers are too inaccurate, so run times are averaged
/// over observed runs.
///
/// Thread safety: one thread at a time.
class JobTierPolicy {
 public:
  /// Records that a run of a job of `queue` has succeeded after `took` without
  /// having been throttled.
  void OnRunDone(const std::string& queue, Millis took);

  /// Returns the tier of an active job at `now`, which depends on its previous
  /// tier. No job is deferred before a run of its queue has been observed.
  JobTier TierOf(const Job& job, const QueueConfig& queue, Millis now) const;

  /// Whether the job has been deferred or can certainly not meet its objective
  /// any more. False before a run of its queue has been observed.
  bool IsLate(const Job& job, const QueueConfig& queue, Millis now) const;

  /// Returns the expected time of the slowest task of a step; 0 before a run of
  /// the queue has been observed.
  double StepMsOf(const QueueConfig& queue) const;
  /// Returns how long a job may wait before it is deferred. Empty if it has no
  /// objective, or no run of the queue has been observed.
  std::optional<Millis> MaxWaitBeforeDeferral(const Job& job,
                                              const QueueConfig& queue) const;

 private:
  /// Returns how long a job may wait before it is deferred.
  Millis MaxWaitOf(const Job& job, const QueueConfig& queue,
                   double step_ms) const;

  std::map<std::string, double> mean_run_ms_;  ///< By queue.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOB_TIER_POLICY_H_
