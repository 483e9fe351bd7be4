#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

/// Returns the first task, of those whose dependencies are done, for which
/// `matches(spec, task)` is true.
template <class Matches>
static std::optional<TaskRef> FirstTask(const Job& job, Matches matches) {
  for (const Occurrence& occurrence : job.occurrences) {
    for (int step = 0; step < static_cast<int>(occurrence.steps.size());
         ++step) {
      const Step& state = occurrence.steps[step];
      if (state.done == static_cast<int>(state.tasks.size())) continue;
      if (!job.DependenciesDone(occurrence, step)) continue;
      const StepSpec& spec = job.record.spec.steps[step];
      const auto found =
          std::find_if(state.tasks.begin(), state.tasks.end(),
                       [&](const Task& task) { return matches(spec, task); });
      if (found == state.tasks.end()) continue;
      const auto index = static_cast<int>(found - state.tasks.begin());
      return TaskRef{job.id, occurrence.number, step, index};
    }
  }
  return std::nullopt;
}

std::optional<TaskRef> Scheduler::FirstWaitingTask(const Job& job,
                                                   bool best_effort,
                                                   Millis now) const {
  return FirstTask(job, [&](const StepSpec& spec, const Task& task) {
    return spec.best_effort == best_effort && NeedsRun(task, now);
  });
}

void Scheduler::UpdateIdleTime(Job& job, Millis now) {
  // A run that is being stopped does no work, but its task can be started again
  // only once it has ended.
  const auto is_due = [&](const StepSpec&, const Task& task) {
    return !task.done && now >= task.not_before && !task.IsElsewhere();
  };
  const bool idle = !job.HasActiveRuns() && FirstTask(job, is_due);
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
  return placer_.CountOptions(vms, spec, job.record.service, ref, now);
}

}  // namespace basilspur::jobs
