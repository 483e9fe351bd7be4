#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

CellCapacity Scheduler::CapacityBesideLongRunning() const {
  CellCapacity capacity;
  for (const auto& [id, vm] : vms_) {
    const bool accepts_work = vm->listed && vm->reachable &&
                              !vm->listing.draining &&
                              !closures_.IsClosed(vm->listing.data_center);
    if (!accepts_work) continue;
    capacity.vms.push_back({vm->listing.service,
                            vm->CapacityBesideLongRunning(), vm->listing.kind,
                            vm->listing.rack});
  }
  return capacity;
}

std::vector<TaskRef> Scheduler::ShortTasksToDelegate(Millis now) {
  std::vector<TaskRef> tasks;
  // The last plan has found a place for every task.
  if (!unplaceable_.HasAny()) return tasks;
  const CellCapacity capacity = CapacityBesideLongRunning();
  for (const auto& [key, job] : active_jobs_) {
    if (job->IsGuest() || !CanStartRuns(*job)) continue;
    const QueueConfig* queue = catalog_.FindQueue(job->record.queue);
    const std::optional<Millis> max_wait =
        queue ? tier_policy_.MaxWaitBeforeDeferral(*job, *queue) : std::nullopt;
    for (const Occurrence& occurrence : job->occurrences) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const StepSpec& spec = job->record.spec.steps[step];
        const bool may_wait =
            !spec.long_running && !occurrence.steps[step].IsDone() &&
            job->DependenciesDone(occurrence, static_cast<int>(step));
        if (!may_wait) continue;
        const auto delay = delegation_policy_.DelayOf(spec, job->record.service,
                                                      capacity, max_wait);
        if (delay && unplaceable_.MayCover(spec, job->record.service))
          AddTasksToDelegate(*job, occurrence.number, static_cast<int>(step),
                             *delay, now, tasks);
      }
    }
  }
  return tasks;
}

void Scheduler::AddTasksToDelegate(Job& job, int occurrence, int step,
                                   Millis delay, Millis now,
                                   std::vector<TaskRef>& tasks) {
  TaskRef ref{job.id, occurrence, step, 0};
  for (Task& task : job.FindOccurrence(occurrence)->steps[step].tasks) {
    if (NeedsRun(task, now) && !late_starts_.MayStart(ref)) {
      if (task.waiting_since == Millis(0)) task.waiting_since = now;
      if (now - task.waiting_since >= delay) tasks.push_back(ref);
    }
    ++ref.index;
  }
}

void Scheduler::ApplyResultOfHost(Job& job, const TaskRef& ref,
                                  const DelegatedTaskReport& report) {
  if (job.record.spec.steps[ref.step].long_running) return;
  ++(report.done ? delegation_counts_.done : delegation_counts_.returned);
  Task& task = job.At(ref);
  task.unsettled.push_back({task.returned_by, report.number});
  task.failures = std::max(task.failures, report.failures);
  if (!report.checkpoint.empty()) task.checkpoint = report.checkpoint;
  if (IsFinal(job.record.status) || task.done) return;
  if (!report.done) {
    if (FailuresOf(job, ref) >= job.record.attempts)
      EndJob(job, JobStatus::kFailed, wall_ms_);
    return;
  }
  job.started = job.begun = true;
  ++job.FindOccurrence(ref.occurrence)->steps[ref.step].undurable_results;
  undurable_results_.emplace_back(taken_batches_ + 1, ref);
  ApplyDone(job, ref);
}

void Scheduler::ApplyDurableResults() {
  std::erase_if(undurable_results_, [&](const auto& result) {
    const auto& [batch, ref] = result;
    if (batch > durable_batches_) return false;
    Job* job = FindJob(ref.job);
    Occurrence* occurrence =
        job ? job->FindOccurrence(ref.occurrence) : nullptr;
    if (occurrence) --occurrence->steps[ref.step].undurable_results;
    return true;
  });
}

void Scheduler::OnSettled(Job& job, Task& task, int host_cell, int number) {
  const auto is_settled = [&](const Settlement& settlement) {
    return settlement.cell == host_cell && settlement.number <= number;
  };
  if (std::erase_if(task.unsettled, is_settled) > 0) MarkProgressDirty(job);
}

void Scheduler::ReturnTask(Job& job, Task& task) {
  task.hosting = HostingState::kReturned;
  task.waiting_since = Millis(0);
  MarkPlacementChanged(job, task);
}

DelegationState Scheduler::Settle(Job* job, const DelegatedTask& wanted) {
  Task* task = job ? job->Find(wanted.RefIn(job->id)) : nullptr;
  // A later delegation has replaced the result.
  if (!task || task->delegation != wanted.number)
    return DelegationState::kSettled;
  if (task->hosting == HostingState::kReturned) {
    task->hosting = HostingState::kSettled;
    task->placement_batch = taken_batches_ + 1;
    MarkProgressDirty(*job);
  }
  return task->placement_batch <= durable_batches_
             ? DelegationState::kSettled
             : DelegationState::kReturning;
}

void Scheduler::ReturnWaitingGuests(Millis now) {
  for (auto& [key, job] : active_jobs_) {
    if (!job->IsGuest() || !CanStartRuns(*job)) continue;
    job->ForEachTask([&, job = job](const TaskRef& ref, Task& task) {
      const StepSpec& spec = job->record.spec.steps[ref.step];
      // An owner of an earlier version does not return a task that is done.
      const bool hosted = task.hosting == HostingState::kHosted;
      if (hosted && task.done && !spec.long_running) ReturnTask(*job, task);
      if (!hosted || !NeedsRun(task, now)) return;
      if (task.waiting_since == Millis(0)) task.waiting_since = now;
      if (now - task.waiting_since < delegation_policy_.MaxWaitAtHost(spec))
        return;
      const bool will_start =
          spec.long_running && HasVmForLater(*job, ref, now);
      if (!will_start) ReturnTask(*job, task);
    });
  }
}

void Scheduler::UpdateGuestActivity(Job& job) {
  if (job.HostsTasks() || job.HasRuns() || !HasCompleteRunState()) {
    if (job.accepted) Activate(job);
    return;
  }
  std::erase_if(active_jobs_,
                [&](const auto& item) { return item.second == &job; });
}

}  // namespace basilspur::jobs
