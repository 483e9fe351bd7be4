#include "jobs/scheduler.h"

#include <algorithm>
#include <utility>

#include "jobs/progress_parts.h"

namespace basilspur::jobs {

Scheduler::Scheduler(SchedulerSettings settings)
    : settings_(settings),
      crash_policy_(settings.max_time_to_crash),
      tails_(settings.tails),
      placer_(tails_, closures_, run_times_),
      delegation_policy_(settings_),
      backfill_(placer_, run_times_, settings.max_planned_starts),
      delegations_sent_(settings_),
      lease_authority_(settings.lease_authority) {}

Scheduler::~Scheduler() = default;

Job* Scheduler::FindJob(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

Task* Scheduler::FindTask(const TaskRef& ref) {
  Job* job = FindJob(ref.job);
  return job ? job->Find(ref) : nullptr;
}

Run* Scheduler::FindRun(const RunKey& key, const std::string& vm) {
  Task* task = FindTask(key.first);
  return task ? task->FindRun(key.second, vm) : nullptr;
}

Vm* Scheduler::FindVm(const std::string& id) {
  const auto found = vms_.find(id);
  return found == vms_.end() ? nullptr : found->second.get();
}

void Scheduler::UpsertVm(const VmListing& listing, Millis now) {
  Vm* known = FindVm(listing.id);
  if (known) {
    known->SetListing(listing, now);
    return;
  }
  auto vm = std::make_unique<Vm>(listing);
  vm->unreachable_since = now;
  // It may have been known before, and been removed since.
  vm->worker_generation = ++worker_generations_;
  const auto recorded_expiry = recorded_lease_expiries_.find(listing.id);
  vm->lease_bound_recorded = recorded_expiry != recorded_lease_expiries_.end();
  vms_[listing.id] = std::move(vm);
}

void Scheduler::UnlistVm(const std::string& id) {
  Vm* vm = FindVm(id);
  if (vm) vm->SetListed(false);
}

void Scheduler::Restore(const std::string& id, const JobRecord& record,
                        const std::optional<ProgressRecord>& progress,
                        std::int64_t wall_ms, Millis now) {
  // Jobs may end before the first plan.
  wall_ms_ = wall_ms;
  auto owned = std::make_unique<Job>();
  owned->id = id;
  owned->record = record;
  Job& job = AddJob(std::move(owned));
  job.accepted = true;
  job.inherited = true;
  job.durable_status = record.status;
  job.SetAcceptedAt(wall_ms, now);
  if (progress) job.ApplyProgress(*progress);
  if (!IsFinal(record.status)) {
    Activate(job);
  } else if (job.HasRuns()) {
    stopping_jobs_.insert(id);
  }
  if (job.HasDelegatedTasks()) delegating_jobs_.insert(id);
  RestoreCopies(job);
  const bool fails = !IsFinal(record.status) && !job.IsGuest() &&
                     job.HasTaskWithCrashes(settings_.max_crashes);
  if (fails) EndJob(job, JobStatus::kFailed, wall_ms);
  job.ForEachRun([&](const TaskRef& ref, Task&, const Run& run) {
    InheritVm(run.vm, /*address=*/"", now)
        .Add({ref, run.number}, MakeRunOnVm(job.record.spec.steps[ref.step]));
  });
}

Vm& Scheduler::InheritVm(const std::string& id, const std::string& address,
                         Millis now) {
  if (!FindVm(id)) {
    VmListing unlisted;
    unlisted.id = id;
    unlisted.address = address;
    UpsertVm(unlisted, now);
    FindVm(id)->SetListed(false);
  }
  Vm& vm = *FindVm(id);
  if (!vm.inherited) vm.Inherit(now + settings_.max_inherited_lease);
  all_vms_reconciled_ = false;
  return vm;
}

void Scheduler::RestoreVm(const std::string& id, const VmRecord& record,
                          Millis now) {
  Vm& vm = InheritVm(id, record.address, now);
  vm.last_end = vm.durable_end = record.last_end;
  vm.SetWorkerStart(record.worker_start_ms);
  vm.in_journal = true;
  vm.restored = true;
  // The worker was known before this owner replaced the one that wrote the
  // record, so its longest lease has begun by now.
  if (record.may_hold_long_lease)
    vm.InheritLongLease(now + Vm::MaxDurationOf(settings_.max_vm_lease));
  for (const LateStartRecord& late : record.late_starts) {
    const TaskRef task{late.job, late.occurrence, late.step, late.index};
    late_starts_.Add(id, {task, late.run}, now + settings_.max_start_delay);
  }
  lease_authority_.OnVmRestored();
}

void Scheduler::FinishRestore(int first_run_number, Millis now) {
  first_run_number_ = first_run_number;
  restored_at_ = now;
  ProcessExpiredLeases(now);
}

void Scheduler::BoundInheritedLeases(Millis stopped_by) {
  const Millis lease_expiry =
      stopped_by + settings_.lease_duration + settings_.lease_clock_drift;
  for (auto& [id, vm] : vms_) vm->BoundInheritedLease(lease_expiry);
}

/// Applies a bound that an earlier owner has recorded. It may be from before
/// the VM's worker started again, and so hold for the former one only.
static void ApplyRecordedBound(Vm& vm, const UnreachableVm& recorded) {
  vm.BoundInheritedLease(recorded.lease_expiry);
  const bool is_of_present_worker =
      vm.worker_start_ms > 0 && recorded.worker_start_ms == vm.worker_start_ms;
  if (is_of_present_worker) vm.BoundLongLease(recorded.lease_expiry);
}

void Scheduler::BoundLeaseExpiry(const UnreachableVm& unreachable) {
  recorded_lease_expiries_[unreachable.vm] = unreachable.lease_expiry;
  Vm* vm = FindVm(unreachable.vm);
  if (!vm) return;
  ApplyRecordedBound(*vm, unreachable);
  vm->lease_bound_recorded = true;
}

void Scheduler::BoundLeaseOfUnreachedVm(const UnreachableVm& unreached) {
  Vm* vm = FindVm(unreached.vm);
  if (vm) ApplyRecordedBound(*vm, unreached);
}

void Scheduler::ExpectLongLease(Vm& vm, Millis now) {
  if (settings_.max_vm_lease <= settings_.lease_duration) return;
  vm.InheritLongLease(now + Vm::MaxDurationOf(settings_.max_vm_lease));
  vm.long_lease_batch = taken_batches_ + 1;
  dirty_vms_.try_emplace(vm.listing.id, vm.last_end);
  urgent_changes_ = true;
}

void Scheduler::ForgetLongLease(Vm& vm) {
  vm.long_lease_until = Millis(0);
  dirty_vms_.try_emplace(vm.listing.id, vm.last_end);
}

bool Scheduler::IsUnreachableForLong(const Vm& vm, Millis now) const {
  return !vm.reachable &&
         now - vm.unreachable_since >= settings_.unreachable_record_delay;
}

std::vector<UnreachableVm> Scheduler::CollectUnreachableVms(Millis now) {
  std::vector<UnreachableVm> unreachable;
  for (auto& [id, vm] : vms_) {
    if (!IsUnreachableForLong(*vm, now)) continue;
    vm->lease_bound_recorded = true;
    unreachable.push_back({id, vm->LatestLeaseExpiry(), vm->worker_start_ms});
  }
  return unreachable;
}

std::vector<UnreachableVm> Scheduler::UnreachedVms(Millis now) const {
  std::vector<UnreachableVm> unreached;
  for (const auto& [id, vm] : vms_) {
    if (!vm->reachable && !IsUnreachableForLong(*vm, now))
      unreached.push_back({id, vm->LatestLeaseExpiry(), vm->worker_start_ms});
  }
  return unreached;
}

void Scheduler::OnUnreachableVmsRecorded(
    const std::vector<UnreachableVm>& recorded_vms) {
  recorded_lease_expiries_.clear();
  for (const UnreachableVm& vm : recorded_vms)
    recorded_lease_expiries_[vm.vm] = vm.lease_expiry;
  for (auto& [id, vm] : vms_)
    vm->lease_bound_recorded = recorded_lease_expiries_.contains(id);
}

Scheduler::ActiveJobKey Scheduler::KeyOf(const Job& job) {
  return {job.record.priority, {job.record.accepted_wall_ms, job.id}};
}

void Scheduler::Activate(Job& job) { active_jobs_[KeyOf(job)] = &job; }

SubmitResult Scheduler::Submit(const std::string& id, const QueueConfig& queue,
                               JobSpec spec, std::int64_t wall_ms, Millis now) {
  if (const Job* known = FindJob(id)) {
    // A guest job is not accepted here; its home cell answers callers.
    return known->IsGuest() ? SubmitResult::kTooManyJobs
                            : SubmitResult::kAlreadyExists;
  }
  if (active_jobs_.size() >= settings_.max_active_jobs) {
    return SubmitResult::kTooManyJobs;
  }
  auto job = std::make_unique<Job>();
  job->id = id;
  job->record.queue = queue.name;
  job->record.service = queue.service;
  job->record.attempts = queue.attempts;
  job->record.priority = queue.priority;
  job->record.catalog_version = catalog_.version;
  job->record.spec = std::move(spec);
  job->record.accepted_wall_ms = wall_ms;
  job->record_dirty = true;
  job->accepted_at = now;
  urgent_changes_ = true;
  dirty_jobs_.insert(id);
  AddJob(std::move(job));
  return SubmitResult::kNew;
}

bool Scheduler::Cancel(const std::string& id, std::int64_t wall_ms) {
  Job* job = FindJob(id);
  if (!job || job->IsGuest()) return false;
  if (!IsFinal(job->record.status)) {
    EndJob(*job, JobStatus::kCancelled, wall_ms);
  }
  return true;
}

void Scheduler::MarkProgressDirty(Job& job) {
  job.all_parts_changed = true;
  ScheduleProgress(job);
}

void Scheduler::MarkTaskDirty(Job& job, const TaskRef& task) {
  job.NoteChange(task);
  ScheduleProgress(job);
}

void Scheduler::ScheduleProgress(Job& job) {
  if (IsFinal(job.record.status) && !stopping_jobs_.contains(job.id)) return;
  job.progress_dirty = true;
  dirty_jobs_.insert(job.id);
}

void Scheduler::EndJob(Job& job, JobStatus status, std::int64_t wall_ms) {
  job.record.status = status;
  job.record.ended_wall_ms = wall_ms;
  job.record_dirty = true;
  urgent_changes_ = true;
  dirty_jobs_.insert(job.id);
  stopping_jobs_.insert(job.id);
  std::erase_if(active_jobs_,
                [&](const auto& item) { return item.second == &job; });
}

bool Scheduler::HasBatch() const {
  return !dirty_jobs_.empty() || !pending_deletions_.empty() ||
         !dirty_vms_.empty() || moved_.HasChanges();
}

/// Appends the entries that remove the job's progress from the journal.
static void RemoveProgress(Job& job, std::vector<JournalEntry>& entries) {
  for (const int part : job.progress_parts)
    entries.push_back({ProgressKey(job.id, part), {}});
  job.progress_parts.clear();
}

/// Appends the entries for what has changed of the job's progress.
static void AddProgress(Job& job, std::vector<JournalEntry>& entries) {
  // It also holds what concerns the whole job.
  job.changed_parts.insert(0);
  std::set<int> written;
  for (const auto& [part, progress] :
       SplitProgress(job.record.spec, job.MakeChangedProgress())) {
    entries.push_back({ProgressKey(job.id, part), records::Encode(progress)});
    written.insert(part);
  }
  std::erase_if(job.progress_parts, [&](int part) {
    const bool changed =
        job.all_parts_changed || job.changed_parts.contains(part);
    if (!changed || written.contains(part)) return false;
    entries.push_back({ProgressKey(job.id, part), {}});
    return true;
  });
  job.progress_parts.merge(written);
  job.changed_parts.clear();
  job.all_parts_changed = false;
}

JournalBatch Scheduler::TakeBatch(std::int64_t wall_ms) {
  PurgeEndedJobs(wall_ms);
  JournalBatch batch;
  batch.number = ++taken_batches_;
  batch.entries = std::move(pending_deletions_);
  pending_deletions_.clear();
  for (const std::string& id : dirty_jobs_) {
    Job& job = *FindJob(id);
    batch.jobs[id] = {job.record.status, job.retired.Count()};
    // The spec and the progress are kept until all runs have been stopped.
    const bool over = IsFinal(job.record.status) && !job.HasRuns();
    if (job.record_dirty) {
      JobRecord record = job.record;
      if (over) record.spec = {};
      batch.entries.push_back({"j" + id, records::Encode(record)});
    }
    if (over) RemoveProgress(job, batch.entries);
    if (!over && job.progress_dirty) AddProgress(job, batch.entries);
    job.record_dirty = job.progress_dirty = false;
  }
  dirty_jobs_.clear();
  for (const auto& [vm, newest_end] : dirty_vms_) {
    const std::int64_t end = LastEndToRecord(vm, newest_end);
    Vm& known = *FindVm(vm);
    if (known.journal_batch == 0) known.journal_batch = batch.number;
    const VmRecord record{end, known.listing.address, known.worker_start_ms,
                          known.long_lease_until > Millis(0),
                          late_starts_.RecordsOf(vm)};
    batch.entries.push_back({"v" + vm, records::Encode(record)});
    batch.ends[vm] = {known.worker_start_ms, end};
  }
  moved_.TakeChanges(batch);
  lease_authority_.OnBatchTaken();
  urgent_changes_ = false;
  dirty_vms_.clear();
  return batch;
}

void Scheduler::OnDurable(const JournalBatch& batch) {
  durable_batches_ = batch.number;
  lease_authority_.OnBatchDurable();
  for (const auto& [id, state] : batch.jobs) {
    Job* job = FindJob(id);
    if (!job) continue;
    if (!job->accepted) {
      job->accepted = true;
      if (!IsFinal(job->record.status)) Activate(*job);
    }
    job->durable_status = state.status;
    job->durably_retired = state.retired;
  }
  for (const auto& [id, end] : batch.ends) {
    Vm* vm = FindVm(id);
    // A VM that was removed and listed again since has a newer record to come.
    const bool is_listed_by =
        vm && (vm->in_journal || vm->journal_batch == batch.number);
    if (!is_listed_by) continue;
    vm->in_journal = true;
    if (vm->long_lease_batch <= batch.number) vm->long_lease_batch = 0;
    if (vm->worker_start_ms == end.worker_start_ms)
      vm->durable_end = end.number;
  }
  moved_.OnDurable(batch);
  ApplyDurableResults();
}

bool Scheduler::CanPurge(const Job& job, std::int64_t wall_ms) const {
  const bool retained =
      wall_ms - job.record.ended_wall_ms <= settings_.ended_job_retention.count;
  if (retained || dirty_jobs_.contains(job.id)) return false;
  // A host may still run a task, or keep its result.
  if (!job.IsGuest())
    return IsFinal(job.durable_status) && !job.HasDelegatedTasks();
  // Until then, delegations that are late may arrive.
  return job.record.ended_wall_ms > 0 && !job.HostsTasks() && !job.HasRuns();
}

void Scheduler::PurgeEndedJobs(std::int64_t wall_ms) {
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    Job& job = *it->second;
    if (!CanPurge(job, wall_ms)) {
      ++it;
      continue;
    }
    pending_deletions_.push_back({"j" + job.id, {}});
    RemoveProgress(job, pending_deletions_);
    std::erase_if(active_jobs_,
                  [&](const auto& item) { return item.second == &job; });
    it = jobs_.erase(it);
  }
}

}  // namespace basilspur::jobs
