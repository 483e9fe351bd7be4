#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::vector<TaskRef> Scheduler::TasksToDelegate(Millis now) {
  std::vector<TaskRef> tasks;
  for (const auto& entry : active_jobs_) {
    Job& job = *entry.second;
    if (job.IsGuest() || !job.record.spec.IsLongRunning()) continue;
    if (!CanStartRuns(job)) continue;
    job.ForEachTask([&](const TaskRef& ref, Task& task) {
      const StepSpec& spec = job.record.spec.steps[ref.step];
      const bool waits =
          spec.long_running && !spec.gang && NeedsRun(task, now) &&
          job.DependenciesDone(*job.FindOccurrence(ref.occurrence), ref.step);
      if (!waits) {
        task.waiting_since = Millis(0);
        return;
      }
      if (task.waiting_since == Millis(0)) task.waiting_since = now;
      if (now - task.waiting_since >= settings_.delegation_delay)
        tasks.push_back(ref);
    });
  }
  return tasks;
}

int Scheduler::CellToAvoid(const TaskRef& ref, Millis now) const {
  const Task* task = jobs_.at(ref.job)->Find(ref);
  const bool cooling = now - task->returned_at < settings_.host_cooldown;
  return cooling ? task->returned_by : -1;
}

const StepSpec& Scheduler::SpecOf(const TaskRef& ref) const {
  return jobs_.at(ref.job)->record.spec.steps[ref.step];
}

void Scheduler::MarkPlacementChanged(Job& job, Task& task) {
  task.placement_batch = taken_batches_ + 1;
  MarkProgressDirty(job);
  urgent_changes_ = true;
}

void Scheduler::Delegate(const TaskRef& ref, int host_cell) {
  Job& job = *FindJob(ref.job);
  Task& task = job.At(ref);
  task.host_cell = host_cell;
  ++task.delegation;
  task.recalled = false;
  task.waiting_since = task.waiting_at_host_since = Millis(0);
  delegating_jobs_.insert(job.id);
  MarkPlacementChanged(job, task);
}

/// Whether the task is delegated, and the journal says so.
static bool IsDelegatedDurably(const Task& task, std::int64_t durable_batches) {
  return task.host_cell >= 0 && task.placement_batch <= durable_batches;
}

std::map<int, Delegation> Scheduler::DelegationsOf(Job& job) const {
  std::map<int, Delegation> delegations;
  job.ForEachTask([&](const TaskRef& ref, Task& task) {
    if (!IsDelegatedDurably(task, durable_batches_)) return;
    Delegation& delegation = delegations[task.host_cell];
    DelegatedTask& delegated = delegation.tasks.emplace_back();
    delegated.occurrence = ref.occurrence;
    delegated.step = ref.step;
    delegated.index = ref.index;
    delegated.number = task.delegation;
    delegated.crashes = task.crashes;
    delegated.run_base = std::max(task.last_run, task.run_base);
    delegated.recalled = task.recalled || IsFinal(job.record.status);
  });
  for (auto& [cell, delegation] : delegations) {
    delegation.job = job.id;
    delegation.record = job.record;
  }
  return delegations;
}

std::vector<std::pair<int, Delegation>> Scheduler::DelegationsToSend(
    Millis now) {
  std::vector<std::pair<int, Delegation>> due;
  for (auto it = delegating_jobs_.begin(); it != delegating_jobs_.end();) {
    Job* job = FindJob(*it);
    if (!job || !job->HasDelegatedTasks()) {
      delegations_sent_.erase(*it);
      it = delegating_jobs_.erase(it);
      continue;
    }
    std::map<int, Delegation> delegations = DelegationsOf(*job);
    const std::string& id = *it++;
    if (delegations.empty()) continue;
    const bool recalls = std::any_of(
        delegations.begin(), delegations.end(), [](const auto& item) {
          return std::any_of(
              item.second.tasks.begin(), item.second.tasks.end(),
              [](const DelegatedTask& task) { return task.recalled; });
        });
    std::size_t tasks = 0;
    for (const auto& [cell, delegation] : delegations)
      tasks += delegation.tasks.size();
    SentDelegations& sent = delegations_sent_[id];
    const Millis interval = recalls || tasks != sent.tasks
                                ? settings_.recall_interval
                                : settings_.delegation_interval;
    if (sent.at != Millis(0) && now - sent.at < interval) continue;
    sent = {now, tasks};
    for (auto& [cell, delegation] : delegations)
      due.emplace_back(cell, std::move(delegation));
  }
  return due;
}

void Scheduler::OnDelegationReport(const std::string& id, int host_cell,
                                   const DelegationReport& report, Millis now) {
  Job* job = FindJob(id);
  if (!job || job->IsGuest()) return;
  for (const DelegatedTaskReport& row : report.tasks) {
    Task* task = job->Find(row.RefIn(id));
    const bool is_current = task && task->host_cell == host_cell &&
                            task->delegation == row.number &&
                            IsDelegatedDurably(*task, durable_batches_);
    if (!is_current) continue;
    OnDelegatedTaskReport(*job, *task, row, now);
  }
}

void Scheduler::CountCrashesAtHost(Job& job, Task& task,
                                   const DelegatedTaskReport& report) {
  const bool is_final = report.state == DelegationState::kReturned;
  // Reports may arrive in another order than they were sent.
  const int crashes =
      is_final ? report.crashes : std::max(task.crashes, report.crashes);
  if (crashes == task.crashes) return;
  task.crashes = crashes;
  MarkProgressDirty(job);
  urgent_changes_ = true;
  if (crashes >= settings_.max_crashes && !IsFinal(job.record.status))
    EndJob(job, JobStatus::kFailed, wall_ms_);
}

void Scheduler::OnDelegatedTaskReport(Job& job, Task& task,
                                      const DelegatedTaskReport& report,
                                      Millis now) {
  CountCrashesAtHost(job, task, report);
  switch (report.state) {
    case DelegationState::kRunning:
      task.waiting_at_host_since = Millis(0);
      job.started = true;
      return;
    case DelegationState::kWaiting:
      if (task.waiting_at_host_since == Millis(0))
        task.waiting_at_host_since = now;
      if (now - task.waiting_at_host_since >= settings_.max_wait_at_host)
        task.recalled = true;
      return;
    case DelegationState::kRefused:
    case DelegationState::kReturning:
      return;
    case DelegationState::kReturned:
      break;
  }
  task.returned_by = task.host_cell;
  task.returned_at = now;
  task.host_cell = -1;
  task.recalled = false;
  task.waiting_at_host_since = Millis(0);
  task.run_base = std::max(task.run_base, report.last_run);
  task.last_run = std::max(task.last_run, report.last_run);
  MarkPlacementChanged(job, task);
}

DelegationReport Scheduler::Host(const Delegation& delegation,
                                 std::int64_t wall_ms) {
  DelegationReport report;
  Job* job = FindJob(delegation.job);
  if (job && !job->IsGuest()) return report;
  if (!job) job = &AddGuestJob(delegation, wall_ms);
  for (const DelegatedTask& wanted : delegation.tasks) {
    const TaskRef ref = wanted.RefIn(job->id);
    Task* task = job->FindOrAdd(ref);
    DelegatedTaskReport& row = report.tasks.emplace_back();
    row.occurrence = ref.occurrence;
    row.step = ref.step;
    row.index = ref.index;
    row.state = DelegationState::kRefused;
    if (!task) continue;
    ApplyDelegation(*job, *task, wanted);
    ReportHosting(*job, ref, *task, row);
  }
  // Its record is kept for as long as delegations that are late may arrive.
  const bool hosts_tasks = job->HostsTasks();
  if (hosts_tasks == (job->record.ended_wall_ms == 0)) return report;
  job->record.ended_wall_ms = hosts_tasks ? 0 : wall_ms;
  job->record_dirty = true;
  dirty_jobs_.insert(job->id);
  return report;
}

Job& Scheduler::AddGuestJob(const Delegation& delegation,
                            std::int64_t wall_ms) {
  auto job = std::make_unique<Job>();
  job->id = delegation.job;
  job->record = delegation.record;
  job->record.status = JobStatus::kActive;
  job->record.accepted_wall_ms = wall_ms;
  job->record.ended_wall_ms = 0;
  job->record_dirty = true;
  job->started = true;
  dirty_jobs_.insert(job->id);
  urgent_changes_ = true;
  return *(jobs_[delegation.job] = std::move(job));
}

void Scheduler::ApplyDelegation(Job& job, Task& task,
                                const DelegatedTask& wanted) {
  const HostingState hosting =
      wanted.recalled ? HostingState::kReturned : HostingState::kHosted;
  if (wanted.number < task.delegation) return;
  if (wanted.number == task.delegation) {
    const bool is_recall = hosting == HostingState::kReturned &&
                           task.hosting == HostingState::kHosted;
    if (!is_recall) return;
  }
  if (wanted.number > task.delegation) task.crashes = wanted.crashes;
  task.delegation = wanted.number;
  task.hosting = hosting;
  task.run_base = std::max(task.run_base, wanted.run_base);
  task.last_run = std::max(task.last_run, wanted.run_base);
  MarkPlacementChanged(job, task);
}

void Scheduler::ReportHosting(const Job& job, const TaskRef& ref,
                              const Task& task,
                              DelegatedTaskReport& row) const {
  row.number = task.delegation;
  row.crashes = task.crashes;
  if (task.hosting == HostingState::kHosted) {
    row.state = task.runs.empty() ? DelegationState::kWaiting
                                  : DelegationState::kRunning;
  }
  if (task.hosting != HostingState::kReturned) return;
  const bool has_orphan = std::any_of(
      orphaned_runs_.begin(), orphaned_runs_.end(),
      [&](const auto& item) { return item.first.second.first == ref; });
  const bool returned = task.runs.empty() && !has_orphan &&
                        task.placement_batch <= durable_batches_ &&
                        HasCompleteRunState();
  row.state =
      returned ? DelegationState::kReturned : DelegationState::kReturning;
  row.last_run = NextRunNumber(job, task) - 1;
}

}  // namespace basilspur::jobs
