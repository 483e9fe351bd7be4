#include <algorithm>
#include <set>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::vector<TaskRef> Scheduler::TasksToDelegate(Millis now) {
  std::vector<TaskRef> tasks;
  std::set<TaskRef> reserved;
  for (const auto& [id, vm] : vms_) {
    if (vm->reservation && now < vm->reservation->until)
      reserved.insert(vm->reservation->task);
  }
  for (const auto& entry : active_jobs_) {
    Job& job = *entry.second;
    if (job.IsGuest() || !job.record.spec.IsLongRunning()) continue;
    if (!CanStartRuns(job)) continue;
    job.ForEachTask([&](const TaskRef& ref, Task& task) {
      const StepSpec& spec = job.record.spec.steps[ref.step];
      if (!spec.long_running) return;
      const bool waits =
          !spec.gang && NeedsRun(task, now) &&
          job.DependenciesDone(*job.FindOccurrence(ref.occurrence), ref.step);
      if (!waits) {
        task.waiting_since = Millis(0);
        return;
      }
      if (task.waiting_since == Millis(0)) task.waiting_since = now;
      const Millis delay = reserved.contains(ref)
                               ? settings_.reserved_delegation_delay
                               : DelegationDelayOf(task, now);
      if (now - task.waiting_since >= delay) tasks.push_back(ref);
    });
  }
  return tasks;
}

Millis Scheduler::DelegationDelayOf(const Task& task, Millis now) const {
  // It has waited here before.
  const bool returned = now - task.returned_at < settings_.host_cooldown;
  return returned ? settings_.min_delegation_delay : settings_.delegation_delay;
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
  if (!job.record.spec.steps[ref.step].long_running)
    ++delegation_counts_.delegated;
  task.host_cell = host_cell;
  ++task.delegation;
  task.recalled = false;
  task.waiting_since = task.waiting_at_host_since = Millis(0);
  task.runs_at_host = false;
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
    if (task.placement_batch > durable_batches_) return;
    for (const Settlement& settlement : task.unsettled) {
      DelegatedTask& settled =
          delegations[settlement.cell].tasks.emplace_back();
      settled.occurrence = ref.occurrence;
      settled.step = ref.step;
      settled.index = ref.index;
      settled.number = settlement.number;
      settled.settled = true;
    }
    if (task.host_cell < 0) return;
    Delegation& delegation = delegations[task.host_cell];
    DelegatedTask& delegated = delegation.tasks.emplace_back();
    delegated.occurrence = ref.occurrence;
    delegated.step = ref.step;
    delegated.index = ref.index;
    delegated.number = task.delegation;
    delegated.crashes = task.crashes;
    delegated.run_base = std::max(task.last_run, task.run_base);
    delegated.recalled = task.recalled || IsFinal(job.record.status);
    delegated.failures = task.failures;
    delegated.checkpoint = task.checkpoint;
  });
  for (auto& [cell, delegation] : delegations) delegation.job = job.id;
  return delegations;
}

static bool HasTasksThatEnd(const Job& job, const Delegation& delegation) {
  return std::any_of(delegation.tasks.begin(), delegation.tasks.end(),
                     [&](const DelegatedTask& task) {
                       return !job.record.spec.steps[task.step].long_running;
                     });
}

/// Whether the host may return a long-running task of which no run is known.
static bool AwaitsStart(Job& job, const Delegation& delegation) {
  return std::any_of(delegation.tasks.begin(), delegation.tasks.end(),
                     [&](const DelegatedTask& wanted) {
                       const Task* task = job.Find(wanted.RefIn(job.id));
                       return task && !wanted.settled && !wanted.recalled &&
                              !task->runs_at_host;
                     });
}

std::vector<std::pair<int, Delegation>> Scheduler::DelegationsToSend(
    Millis now) {
  std::vector<std::pair<int, Delegation>> due;
  for (auto it = delegating_jobs_.begin(); it != delegating_jobs_.end();) {
    Job* job = FindJob(*it);
    if (!job || !job->HasDelegatedTasks()) {
      delegations_sent_.Forget(*it);
      it = delegating_jobs_.erase(it);
      continue;
    }
    ++it;
    for (auto& [cell, delegation] : DelegationsOf(*job)) {
      if (HasTasksThatEnd(*job, delegation) || AwaitsStart(*job, delegation))
        delegation.wait_ms = settings_.max_delegation_hold.count;
      if (!delegations_sent_.IsDue(delegation, cell, now)) continue;
      delegation.record = job->record;
      delegation.retired = job->retired.Ranges();
      due.emplace_back(cell, std::move(delegation));
    }
  }
  return due;
}

void Scheduler::OnDelegationReport(const std::string& id, int host_cell,
                                   const DelegationReport& report, Millis now) {
  Job* job = FindJob(id);
  if (!job || job->IsGuest()) return;
  delegations_sent_.OnAnswered(id, host_cell);
  for (const DelegatedTaskReport& row : report.tasks) {
    Task* task = job->Find(row.RefIn(id));
    if (task && row.state == DelegationState::kSettled)
      OnSettled(*job, *task, host_cell, row.number);
    const bool is_current = task && task->host_cell == host_cell &&
                            task->delegation == row.number &&
                            IsDelegatedDurably(*task, durable_batches_);
    if (!is_current) continue;
    const bool ends = !job->record.spec.steps[row.step].long_running;
    if (ends && !report.states_results) continue;
    OnDelegatedTaskReport(*job, row.RefIn(id), row, now);
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

void Scheduler::OnDelegatedTaskReport(Job& job, const TaskRef& ref,
                                      const DelegatedTaskReport& report,
                                      Millis now) {
  Task& task = job.At(ref);
  CountCrashesAtHost(job, task, report);
  switch (report.state) {
    case DelegationState::kRunning:
      task.waiting_at_host_since = Millis(0);
      task.runs_at_host = true;
      job.started = job.begun = true;
      return;
    case DelegationState::kWaiting:
      task.runs_at_host = false;
      if (task.waiting_at_host_since == Millis(0))
        task.waiting_at_host_since = now;
      if (now - task.waiting_at_host_since >=
          delegation_policy_.MaxWaitBeforeRecall(SpecOf(ref)))
        task.recalled = true;
      return;
    case DelegationState::kRefused:
    case DelegationState::kReturning:
    case DelegationState::kSettled:
      return;
    case DelegationState::kReturned:
      break;
  }
  task.returned_by = task.host_cell;
  task.returned_at = now;
  task.host_cell = -1;
  task.recalled = false;
  task.waiting_at_host_since = Millis(0);
  task.runs_at_host = false;
  task.run_base = std::max(task.run_base, report.last_run);
  task.last_run = std::max(task.last_run, report.last_run);
  ApplyResultOfHost(job, ref, report);
  MarkPlacementChanged(job, task);
}

DelegationReport Scheduler::Host(const Delegation& delegation,
                                 std::int64_t wall_ms, Millis now) {
  DelegationReport report;
  report.states_results = true;
  Job* job = FindJob(delegation.job);
  if (job && !job->IsGuest()) return report;
  const bool wants_runs =
      std::any_of(delegation.tasks.begin(), delegation.tasks.end(),
                  [](const DelegatedTask& task) { return !task.settled; });
  if (!job && wants_runs) job = &AddGuestJob(delegation, wall_ms, now);
  if (job) RetireOccurrencesOfGuest(*job, delegation.retired);
  std::set<TaskRef> orphaned;
  for (const auto& [run, last_stop] : orphaned_runs_)
    orphaned.insert(run.second.first);
  for (const DelegatedTask& wanted : delegation.tasks) {
    const TaskRef ref = wanted.RefIn(delegation.job);
    DelegatedTaskReport& row = report.tasks.emplace_back();
    row.occurrence = ref.occurrence;
    row.step = ref.step;
    row.index = ref.index;
    row.number = wanted.number;
    if (wanted.settled) {
      row.state = Settle(job, wanted);
      continue;
    }
    row.state = DelegationState::kRefused;
    Task* task = job->FindOrAdd(ref);
    if (!task) continue;
    if (ApplyDelegation(*job, *task, wanted)) ++report.recalls;
    ReportHosting(*job, ref, *task, orphaned, row);
  }
  if (!job) return report;
  UpdateGuestActivity(*job);
  // Its record is kept for as long as delegations that are late may arrive.
  const bool hosts_tasks = job->HostsTasks();
  if (hosts_tasks == (job->record.ended_wall_ms == 0)) return report;
  job->record.ended_wall_ms = hosts_tasks ? 0 : wall_ms;
  job->record_dirty = true;
  dirty_jobs_.insert(job->id);
  return report;
}

Job& Scheduler::AddGuestJob(const Delegation& delegation, std::int64_t wall_ms,
                            Millis now) {
  auto job = std::make_unique<Job>();
  job->id = delegation.job;
  job->record = delegation.record;
  job->record.status = JobStatus::kActive;
  job->record.ended_wall_ms = 0;
  job->record_dirty = true;
  job->SetAcceptedAt(wall_ms, now);
  job->started = job->begun = true;
  dirty_jobs_.insert(job->id);
  urgent_changes_ = true;
  return AddJob(std::move(job));
}

bool Scheduler::ApplyDelegation(Job& job, Task& task,
                                const DelegatedTask& wanted) {
  const HostingState hosting =
      wanted.recalled ? HostingState::kReturned : HostingState::kHosted;
  const bool is_recall = hosting == HostingState::kReturned &&
                         task.hosting == HostingState::kHosted;
  if (wanted.number < task.delegation) return false;
  if (wanted.number == task.delegation && !is_recall) return false;
  if (wanted.number > task.delegation) {
    task.crashes = wanted.crashes;
    task.failures = wanted.failures;
    task.checkpoint = wanted.checkpoint;
  }
  task.waiting_since = Millis(0);
  task.delegation = wanted.number;
  task.hosting = hosting;
  task.run_base = std::max(task.run_base, wanted.run_base);
  task.last_run = std::max(task.last_run, wanted.run_base);
  MarkPlacementChanged(job, task);
  return is_recall;
}

void Scheduler::ReportHosting(const Job& job, const TaskRef& ref,
                              const Task& task,
                              const std::set<TaskRef>& orphaned,
                              DelegatedTaskReport& row) const {
  row.number = task.delegation;
  row.crashes = task.crashes;
  if (task.hosting == HostingState::kHosted) {
    row.state = task.runs.empty() ? DelegationState::kWaiting
                                  : DelegationState::kRunning;
  }
  if (task.hosting == HostingState::kSettled)
    row.state = DelegationState::kSettled;
  if (task.hosting != HostingState::kReturned) return;
  const bool returned = task.runs.empty() && !orphaned.contains(ref) &&
                        task.placement_batch <= durable_batches_ &&
                        HasCompleteRunState() &&
                        (task.done || !late_starts_.MayStart(ref));
  row.state =
      returned ? DelegationState::kReturned : DelegationState::kReturning;
  row.last_run = NextRunNumber(job, task) - 1;
  if (!returned) return;
  row.done = task.done;
  row.failures = task.failures;
  if (!task.done) row.checkpoint = task.checkpoint;
}

}  // namespace basilspur::jobs
