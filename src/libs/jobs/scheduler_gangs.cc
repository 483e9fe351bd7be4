#include <algorithm>
#include <set>

#include "jobs/scheduler.h"
#include "jobs/step_places.h"

namespace basilspur::jobs {

void Scheduler::PlanGang(Job& job, Occurrence& occurrence, int step, Millis now,
                         std::vector<RunCommand>& commands) {
  std::vector<Task>& tasks = occurrence.steps[step].tasks;
  const StepSpec& spec = job.record.spec.steps[step];
  int number = 0;
  for (const Task& task : tasks) {
    if (!NeedsRun(task, now)) return;
    number = std::max(number, NextRunNumber(job, task));
  }
  occurrence.steps[step].ShareNewestCheckpoint();
  const Millis waiting_since = tasks.front().waiting_since;
  std::set<std::string> racks{""};
  if (spec.rack_local) {
    for (const auto& [id, vm] : vms_) racks.insert(vm->listing.rack);
  }
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<Vm*> vms = AllVms();
    if (!rack->empty()) {
      std::erase_if(vms, [&](Vm* vm) { return vm->listing.rack != *rack; });
    }
    std::vector<RunCommand> placed;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
      const TaskRef ref{job.id, occurrence.number, step, index};
      const Placement place = placer_.SelectPlacement(
          vms, spec, job.record.service, ref, tasks[index], tasks, now);
      if (!place.vm) break;
      StartTask(job, ref, place, number, now, placed);
    }
    if (placed.size() == tasks.size()) {
      commands.insert(commands.end(), placed.begin(), placed.end());
      return;
    }
    for (const RunCommand& command : placed) {
      ReleaseRun(*FindVm(command.vm), command.task, command.run);
      job.At(command.task).last_run = number - 1;
    }
    tasks.front().waiting_since = waiting_since;
  }
  PlanLaterStart(job, {job.id, occurrence.number, step, 0}, AllVms(), now);
}

static bool HasGangThatEnds(const JobSpec& spec) {
  return std::any_of(
      spec.steps.begin(), spec.steps.end(),
      [](const StepSpec& step) { return step.gang && !step.long_running; });
}

std::vector<TaskRef> Scheduler::GangsToDelegate(Millis now) {
  std::vector<TaskRef> gangs;
  for (const auto& [key, job] : active_jobs_) {
    const bool may_wait = !job->IsGuest() && CanStartRuns(*job) &&
                          HasGangThatEnds(job->record.spec);
    if (!may_wait) continue;
    for (Occurrence& occurrence : job->occurrences) {
      for (int step = 0; step < static_cast<int>(occurrence.steps.size());
           ++step) {
        const bool needs_host =
            GangWaits(*job, occurrence, step, now) &&
            !CanHold(job->record.spec.steps[step], job->record.service);
        if (needs_host) gangs.push_back({job->id, occurrence.number, step, 0});
      }
    }
  }
  return gangs;
}

bool Scheduler::GangWaits(const Job& job, Occurrence& occurrence, int step,
                          Millis now) const {
  const StepSpec& spec = job.record.spec.steps[step];
  std::vector<Task>& tasks = occurrence.steps[step].tasks;
  const bool waits =
      spec.gang && !spec.long_running &&
      job.DependenciesDone(occurrence, step) &&
      std::all_of(tasks.begin(), tasks.end(),
                  [&](const Task& task) { return NeedsRun(task, now); });
  if (!waits) return false;
  Millis& since = tasks.front().waiting_since;
  if (since == Millis(0)) since = now;
  return now - since >= settings_.delegation_delay;
}

bool Scheduler::CanHold(const StepSpec& spec,
                        const std::string& service) const {
  int places = 0;
  for (const auto& [id, vm] : vms_) {
    if (vm->listed)
      places += CountPlaces(vm->listing, service, spec, closures_);
    if (places >= PlacesNeeded(spec)) return true;
  }
  return false;
}

void Scheduler::DelegateGang(const TaskRef& ref, int host_cell) {
  Step& step =
      FindJob(ref.job)->FindOccurrence(ref.occurrence)->steps[ref.step];
  step.ShareNewestCheckpoint();
  TaskRef member = ref;
  for (member.index = 0; member.index < static_cast<int>(step.tasks.size());
       ++member.index)
    Delegate(member, host_cell);
}

void Scheduler::ReturnTaskOrGang(Job& job, const TaskRef& ref) {
  if (!job.record.spec.steps[ref.step].gang) {
    ReturnTask(job, job.At(ref));
    return;
  }
  for (Task& task : job.FindOccurrence(ref.occurrence)->steps[ref.step].tasks) {
    if (task.hosting == HostingState::kHosted) ReturnTask(job, task);
  }
}

int Scheduler::FailuresOf(Job& job, const TaskRef& ref) {
  if (!job.record.spec.steps[ref.step].gang) return job.At(ref).failures;
  int failures = 0;
  for (const Task& member :
       job.FindOccurrence(ref.occurrence)->steps[ref.step].tasks)
    failures += member.failures;
  return failures;
}

}  // namespace basilspur::jobs
