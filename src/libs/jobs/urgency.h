#ifndef BASILSPUR_JOBS_URGENCY_H_
#define BASILSPUR_JOBS_URGENCY_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "jobs/catalog.h"
#include "jobs/job.h"

namespace basilspur::jobs {

/// Tells which jobs can still be done in time. It answers bursts above what
/// the VMs can do: served in the order of arrival, all jobs would come just
/// too late; so those that can't be in time any more stand back.
///
/// Declared estimates are far off, so it goes by the runs that it has seen.
///
/// Thread safety: one thread at a time.
class Urgency {
 public:
  /// A run of a job of `queue` was done after `took`.
  void OnRunDone(const std::string& queue, Millis took);

  /// kInTime as long as no run of the queue has been seen.
  JobTier TierOf(const Job& job, const QueueConfig& queue, Millis now) const;

 private:
  std::map<std::string, double> mean_run_ms_;  ///< By queue.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_URGENCY_H_
