#include <algorithm>
#include <functional>
#include <map>
#include <string_view>
#include <utility>

#include "jobs/placement_queue.h"
#include "jobs/scheduler.h"
#include "jobs/step_places.h"

namespace basilspur::jobs {

/// Returns the groups of VMs on which the gang may be placed, the preferred
/// ones first.
static std::vector<std::vector<Vm*>> GroupsForGang(const StepSpec& spec,
                                                   std::vector<Vm*> vms) {
  std::vector<std::vector<Vm*>> groups;
  if (spec.rack_local) {
    std::map<std::string_view, std::vector<Vm*>, std::greater<>> racks;
    for (Vm* vm : vms) {
      if (!vm->listing.rack.empty()) racks[vm->listing.rack].push_back(vm);
    }
    for (auto& [rack, vms_in_rack] : racks)
      groups.push_back(std::move(vms_in_rack));
  }
  groups.push_back(std::move(vms));
  return groups;
}

void Scheduler::PlanGang(Job& job, Occurrence& occurrence, int step, Millis now,
                         std::vector<RunCommand>& commands) {
  const std::vector<Task>& tasks = occurrence.steps[step].tasks;
  const StepSpec& spec = job.record.spec.steps[step];
  const TaskRef first{job.id, occurrence.number, step, 0};
  for (const Task& task : tasks) {
    if (!NeedsRun(task, now)) return;
  }
  if (HasLateStart(first, spec.count)) return;
  for (const std::vector<Vm*>& vms : GroupsForGang(spec, AllVms())) {
    if (!HasPlacesForGang(job, first, vms, now)) continue;
    if (PlaceGang(job, occurrence, step, vms, now, commands)) return;
  }
  PlanLaterStart(job, first, AllVms(), now);
}

bool Scheduler::HasPlacesForGang(const Job& job, const TaskRef& first,
                                 const std::vector<Vm*>& vms,
                                 Millis now) const {
  const StepSpec& spec = job.record.spec.steps[first.step];
  int missing = spec.count;
  for (const Vm* vm : vms) {
    missing -= placer_.CountFreePlaces(*vm, spec, job.record.service, first,
                                       missing, now);
    if (missing <= 0) return true;
  }
  return false;
}

bool Scheduler::PlaceGang(Job& job, Occurrence& occurrence, int step,
                          const std::vector<Vm*>& vms, Millis now,
                          std::vector<RunCommand>& commands) {
  std::vector<Task>& tasks = occurrence.steps[step].tasks;
  occurrence.steps[step].ShareNewestCheckpoint();
  int number = 0;
  for (const Task& task : tasks)
    number = std::max(number, NextRunNumber(job, task));
  const Millis waiting_since = tasks.front().waiting_since;
  TaskRef ref{job.id, occurrence.number, step, 0};
  PlacementQueue queue(placer_, vms, job.record.spec.steps[step],
                       job.record.service, ref, now);
  std::vector<RunCommand> placed;
  for (; ref.index < static_cast<int>(tasks.size()); ++ref.index) {
    const Placement place = queue.Select(ref, tasks[ref.index]);
    if (!place.vm) break;
    StartTask(job, ref, place, number, now, placed);
    queue.Update(*place.vm);
  }
  if (placed.size() == tasks.size()) {
    commands.insert(commands.end(), placed.begin(), placed.end());
    return true;
  }
  for (const RunCommand& command : placed) {
    ReleaseRun(*FindVm(command.vm), command.task, command.run);
    job.At(command.task).last_run = number - 1;
  }
  plan_starts_ -= static_cast<int>(placed.size());
  tasks.front().waiting_since = waiting_since;
  return false;
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
  if (!waits || HasLateStart({job.id, occurrence.number, step, 0}, spec.count))
    return false;
  Millis& since = tasks.front().waiting_since;
  if (since == Millis(0)) since = now;
  return now - since >= settings_.delegation_delay;
}

bool Scheduler::HasLateStart(TaskRef first, int count) const {
  if (late_starts_.Count() == 0) return false;
  for (; first.index < count; ++first.index) {
    if (late_starts_.MayStart(first)) return true;
  }
  return false;
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
