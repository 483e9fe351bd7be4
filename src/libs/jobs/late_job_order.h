#ifndef BASILSPUR_JOBS_LATE_JOB_ORDER_H_
#define BASILSPUR_JOBS_LATE_JOB_ORDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/catalog.h"
#include "jobs/job.h"

namespace basilspur::jobs {

/// Decides in which order the jobs are served that can no longer meet their
/// objective. Callers still have a use for such a job until
/// `kUsefulObjectives` times its objective.
///
/// Answers an overload of some tens of seconds that leaves more late jobs than
/// can be served in time to be of use. If all of them advanced together, most
/// would end too late. So the jobs with the least work left are completed
/// first, of those that can still end early enough. Jobs past that come last.
/// A job that was deferred by precaution, and could still meet its objective if
/// it started now, comes before all of these.
///
/// Queues that share a service and a priority take turns by the work of their
/// late jobs, so that a queue with many or small jobs does not hold back the
/// others.
///
/// Thread safety: one thread at a time.
class LateJobOrder {
 public:
  /// Multiple of its objective within which a late job is still of use.
  static constexpr int kUsefulObjectives = 3;

  /// Forgets the jobs that were added.
  void Clear() { queues_.clear(); }

  /// Adds a late job. `step_ms`: expected time of a step's slowest task.
  /// Precondition: the job has an objective and an occurrence that has become
  /// due, and was not added since the last Clear.
  void Add(Job& job, const QueueConfig& queue, double step_ms, Millis now);

  /// Sets Job::late_rank of the jobs that were added.
  void AssignRanks();

  /// Returns the latency objective of a job whose steps take `step_ms` each.
  static Millis ObjectiveOf(const Job& job, const QueueConfig& queue,
                            double step_ms);

 private:
  struct LateJob {
    Job* job = nullptr;
    double work = 0;  ///< Core milliseconds that are left.
  };
  static bool ComesBefore(const LateJob& a, const LateJob& b);
  /// Service and priority, then the queue's name.
  using QueueKey = std::pair<std::pair<std::string, int>, std::string>;

  std::map<QueueKey, std::vector<LateJob>> queues_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_LATE_JOB_ORDER_H_
