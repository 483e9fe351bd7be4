#ifndef BASILSPUR_JOBS_CRASH_POLICY_H_
#define BASILSPUR_JOBS_CRASH_POLICY_H_

#include <vector>

#include "base/clock.h"
#include "jobs/vm_loss.h"

namespace basilspur::jobs {

/// Decides which tasks may have crashed a VM that was lost.
///
/// Thread safety: stateless but for its constant setting.
class CrashPolicy {
 public:
  /// A run that crashes its VM does so within `max_time_to_crash` of its start.
  explicit CrashPolicy(Millis max_time_to_crash)
      : max_time_to_crash_(max_time_to_crash) {}

  /// Returns the tasks that may have crashed the VM, with this crash counted:
  /// those whose runs had only begun when the worker ended, or were found to be
  /// such by an earlier owner. A VM that drained, lost its power or was cut off
  /// was not crashed by a run.
  std::vector<CrashSuspect> SelectSuspects(const VmLoss& loss) const;

  /// Whether a run that has executed for `duration` crashes its VM no more.
  bool IsCleared(Millis duration) const {
    return duration >= max_time_to_crash_;
  }

 private:
  Millis max_time_to_crash_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_CRASH_POLICY_H_
