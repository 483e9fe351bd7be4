#ifndef BASILSPUR_JOBS_SERVICE_ORDER_H_
#define BASILSPUR_JOBS_SERVICE_ORDER_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "jobs/catalog.h"
#include "jobs/job.h"

namespace basilspur::jobs {

/// Decides which jobs of a queue go first when VMs can't do them all in time.
///
/// It answers bursts that last: in the order of arrival every job would wait
/// until it is just too late. A job that has waited for part of the time it can
/// spare is deferred behind those that came later, as long as none of its tasks
/// has been started; so the jobs that are served are done in time, and what is
/// deferred is done once there is room. Jobs that have begun go first, for what
/// they have done would be in vain.
///
/// Declared estimates are far off, so it goes by the runs that it has seen.
///
/// Thread safety: one thread at a time.
class ServiceOrder {
 public:
  /// A run of a job of `queue` was done after `took`, at full speed.
  void OnRunDone(const std::string& queue, Millis took);

  /// The tier of an active job at `now`, by what its tier was before. No job
  /// is deferred before a run of its queue has been seen.
  JobTier TierOf(const Job& job, const QueueConfig& queue, Millis now) const;

 private:
  /// How long a job may wait and still be among those that are served first.
  Millis PatienceOf(const Job& job, const QueueConfig& queue,
                    double step_ms) const;

  std::map<std::string, double> mean_run_ms_;  ///< By queue.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SERVICE_ORDER_H_
