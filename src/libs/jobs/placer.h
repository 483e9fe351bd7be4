#ifndef BASILSPUR_JOBS_PLACER_H_
#define BASILSPUR_JOBS_PLACER_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/job.h"
#include "jobs/tail_watch.h"
#include "jobs/vm.h"

namespace basilspur::jobs {

/// Where a run goes, and how fast it may work there.
struct Place {
  Vm* vm = nullptr;  ///< Null: there is no room.
  int pace = 100;    ///< Percent.
};

/// Picks VMs for tasks. A decision only: it changes nothing.
///
/// Thread safety: one thread at a time.
class Placer {
 public:
  /// Precondition: `tails` outlives the placer.
  explicit Placer(const TailWatch& tails) : tails_(tails) {}

  /// The best of `vms` for a run of `task`, which is called `ref`. `siblings`
  /// are the tasks of the same step and occurrence.
  Place Pick(const std::vector<Vm*>& vms, const StepSpec& spec,
             const std::string& service, const TaskRef& ref, const Task& task,
             const std::vector<Task>& siblings, Millis now) const;

  /// The VM that will soonest have room for a long-running task, once shorter
  /// tasks have ended there. Null: none, or none that is not reserved.
  static Vm* PickToReserve(const std::vector<Vm*>& vms, const StepSpec& spec,
                           const std::string& service, Millis now);

 private:
  static bool TakesRuns(const Vm& vm, const StepSpec& spec,
                        const std::string& service, Millis now);
  bool IsEligible(const Vm& vm, const StepSpec& spec,
                  const std::string& service, Millis now) const;
  double Cost(const Vm& vm, const StepSpec& spec, const Task& task) const;

  const TailWatch& tails_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PLACER_H_
