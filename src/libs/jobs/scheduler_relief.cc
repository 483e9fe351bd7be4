#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

const ReliefLimits& Scheduler::CurrentReliefLimits() const {
  std::int64_t capacity = 0;
  std::int64_t free = 0;
  for (const auto& [id, vm] : vms_) {
    if (!vm->listed || closures_.IsClosed(vm->listing.data_center)) continue;
    capacity += vm->listing.capacity.cpu_millis;
    free += vm->Free().cpu_millis;
  }
  const bool busy =
      100 * (capacity - free) > settings_.max_idle_charge_percent * capacity;
  return busy ? settings_.busy_relief : settings_.relief;
}

std::vector<Job*> Scheduler::JobsInNeedOfRelief(Millis delay,
                                                Millis now) const {
  std::vector<Job*> jobs;
  for (const auto& [key, job] : active_jobs_) {
    if (job->idle_since == Millis(0)) continue;
    if (now - job->idle_since < delay) continue;
    if (CanStartRuns(*job)) jobs.push_back(job);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
    return a->idle_since < b->idle_since;
  });
  return jobs;
}

void Scheduler::PlanReliefRuns(const std::vector<Vm*>& vms, Millis now,
                               std::vector<RunCommand>& commands) {
  const ReliefLimits& limits = CurrentReliefLimits();
  const auto present = std::count_if(
      vms.begin(), vms.end(), [](const Vm* vm) { return vm->HasReliefRun(); });
  int left = std::min(limits.max_runs - static_cast<int>(present),
                      settings_.max_relief_starts);
  UnplaceableTasks unplaceable;
  for (Job* job : JobsInNeedOfRelief(limits.delay, now)) {
    if (left <= 0) return;
    const auto ref = FirstWaitingTask(*job, /*best_effort=*/true, now);
    if (!ref) continue;
    const StepSpec& spec = job->record.spec.steps[ref->step];
    if (spec.gang || unplaceable.Covers(spec, job->record.service)) continue;
    if (job->At(*ref).IsSuspect() && !MayIsolateVm(now)) continue;
    if (late_starts_.MayStart(*ref)) continue;
    if (StartReliefRun(*job, *ref, vms, now, commands)) {
      --left;
    } else {
      unplaceable.Add(spec, job->record.service);
    }
  }
}

bool Scheduler::StartReliefRun(Job& job, const TaskRef& ref,
                               const std::vector<Vm*>& vms, Millis now,
                               std::vector<RunCommand>& commands) {
  const StepSpec& spec = job.record.spec.steps[ref.step];
  const Placement place =
      placer_.SelectReliefPlacement(vms, spec, job.record.service, ref, now);
  if (!place.vm) return false;
  StartTask(job, ref, place, NextRunNumber(job, job.At(ref)), now, commands);
  return true;
}

}  // namespace basilspur::jobs
