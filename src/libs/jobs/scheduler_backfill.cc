#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::PlanLaterStart(const Job& job, const TaskRef& ref,
                               const std::vector<Vm*>& vms, Millis now) {
  const StepSpec& spec = job.record.spec.steps[ref.step];
  const BackfillPolicy::UnplacedTask task{ref, spec, job.record.service,
                                          job.record.priority,
                                          /*in_turn=*/!job.IsDeferred()};
  if (spec.gang) return backfill_.OnGangUnplaced(task, vms, now);
  backfill_.OnUnplaced(task, vms, now);
}

}  // namespace basilspur::jobs
