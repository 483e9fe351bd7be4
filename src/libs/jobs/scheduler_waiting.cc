#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::optional<TaskRef> Scheduler::FirstWaitingTask(const Job& job,
                                                   bool best_effort,
                                                   Millis now) const {
  for (const Occurrence& occurrence : job.occurrences) {
    for (int step = 0; step < static_cast<int>(occurrence.steps.size());
         ++step) {
      const Step& state = occurrence.steps[step];
      if (job.record.spec.steps[step].best_effort != best_effort) continue;
      if (state.done == static_cast<int>(state.tasks.size())) continue;
      if (!job.DependenciesDone(occurrence, step)) continue;
      const auto found =
          std::find_if(state.tasks.begin(), state.tasks.end(),
                       [&](const Task& task) { return NeedsRun(task, now); });
      if (found == state.tasks.end()) continue;
      const auto index = static_cast<int>(found - state.tasks.begin());
      return TaskRef{job.id, occurrence.number, step, index};
    }
  }
  return std::nullopt;
}

void Scheduler::UpdateIdleTime(Job& job, Millis now) {
  const bool idle = !job.HasActiveRuns() &&
                    (FirstWaitingTask(job, /*best_effort=*/true, now) ||
                     FirstWaitingTask(job, /*best_effort=*/false, now));
  if (!idle) job.idle_since = Millis(0);
  if (idle && job.idle_since == Millis(0)) job.idle_since = now;
}

std::optional<WaitingTask> Scheduler::OldestWaitingTask(bool best_effort,
                                                        Millis now) const {
  const Job* oldest = nullptr;
  std::optional<TaskRef> oldest_task;
  for (const auto& [key, job] : active_jobs_) {
    // Jobs of which nothing runs come before all others.
    const auto rank = [](const Job& job) {
      return std::pair(job.idle_since == Millis(0), job.accepted_at);
    };
    if (oldest && rank(*job) >= rank(*oldest)) continue;
    const std::optional<TaskRef> task =
        FirstWaitingTask(*job, best_effort, now);
    if (!task) continue;
    oldest = job;
    oldest_task = task;
  }
  if (!oldest) return std::nullopt;
  WaitingTask waiting;
  waiting.task = *oldest_task;
  waiting.age = now - oldest->accepted_at;
  if (oldest->idle_since != Millis(0)) waiting.idle = now - oldest->idle_since;
  waiting.tier = oldest->tier;
  waiting.may_start = CanStartRuns(*oldest);
  waiting.options = OptionsFor(*oldest, *oldest_task, now);
  return waiting;
}

PlacementOptions Scheduler::OptionsFor(const Job& job, const TaskRef& ref,
                                       Millis now) const {
  const StepSpec& spec = job.record.spec.steps[ref.step];
  std::vector<const Vm*> vms;
  for (const auto& [id, vm] : vms_) vms.push_back(vm.get());
  for (const Occurrence& occurrence : job.occurrences) {
    if (occurrence.number != ref.occurrence) continue;
    return placer_.CountOptions(vms, spec, job.record.service, ref,
                                occurrence.steps[ref.step].tasks, now);
  }
  return {};
}

}  // namespace basilspur::jobs
