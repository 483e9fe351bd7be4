#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::int64_t Scheduler::NextDeadline(const std::string& vm, Millis now) {
  Vm* known = FindVm(vm);
  if (!known) return 0;
  const bool ends_no_later =
      known->long_lease_until > Millis(0) &&
      known->long_lease_until <= now + settings_.lease_duration;
  if (ends_no_later) ForgetLongLease(*known);
  const auto deadline = known->LeaseDeadline(settings_.lease_duration, now);
  // The lease of an unreachable VM must expire, so that its runs can be started
  // elsewhere.
  if (!deadline || !known->reachable || known->lease_bound_recorded) return 0;
  if (!MayExtendLeases(now)) return 0;
  known->RecordLeaseDeadline(*deadline);
  return *deadline;
}

std::int64_t Scheduler::EndToAcknowledge(const std::string& vm) const {
  const auto found = vms_.find(vm);
  // After an outage the VM may have another worker, which numbers its ends
  // anew.
  const bool known = found != vms_.end() && found->second->reachable;
  return known ? found->second->durable_end : 0;
}

std::int64_t Scheduler::NewestProcessedEnd(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? 0 : found->second->last_end;
}

KnownWorker Scheduler::WorkerOf(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? KnownWorker() : found->second->Worker();
}

std::int64_t Scheduler::WorkerGeneration(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? 0 : found->second->worker_generation;
}

bool Scheduler::IsFenced(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() || found->second->is_fenced;
}

bool Scheduler::HasNonDurableEnds(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found != vms_.end() && LastEndToRecord(vm, found->second->last_end) >
                                    found->second->durable_end;
}

void Scheduler::OnReport(const std::string& id, const VmReport& report,
                         Millis sent, Millis now) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  if (!AcceptWorker(*vm, report, sent, now)) return;
  vm->reported_at = now;
  vm->answered_call_sent_at = sent;
  if (std::exchange(vm->restored, false))
    lease_authority_.OnRestoredVmReached(now);
  if (sent > vm->address_changed_at) vm->answered_at_address = true;
  const bool expired_by_clock = vm->UpdateClock(report.clock_ms, sent, now);
  std::optional<RunEventKind> void_by;
  if (expired_by_clock) void_by = RunEventKind::kVoidByClock;
  if (vm->lease_expired) void_by = RunEventKind::kVoidByLeaseBound;
  const bool is_first = vm->known_since == Millis(0);
  if (is_first) vm->TakeOverLongLease(now);
  if (!vm->is_fenced && sent >= vm->known_since) {
    vm->OnFenced(settings_.max_vm_lease);
    ExpectLongLease(*vm, now);
  }
  // Run ends from before the lease expired that were not acknowledged are void.
  std::int64_t last_expiry = 0;
  for (const EndedRunReport& row : report.ended) {
    if (row.end == RunEnd::kLapsed) last_expiry = row.number;
  }
  for (const EndedRunReport& row : report.ended) {
    if (row.number <= vm->last_end) continue;
    const bool before_lapse = !void_by && row.number < last_expiry;
    const std::optional<RunEventKind> row_void_by =
        before_lapse ? RunEventKind::kVoidByLapse : void_by;
    const bool may_be_void =
        row_void_by || report.may_have_more_ends || vm->may_list_void_ends;
    ProcessEndedRun(*vm, row, row_void_by, may_be_void, now);
    vm->last_end = row.number;
    dirty_vms_[id] = row.number;
  }
  if (report.may_have_more_ends) ReleaseEndsOfFullList(*vm, now);
  vm->may_list_void_ends =
      report.may_have_more_ends && (void_by || vm->may_list_void_ends);
  for (const RunningRunReport& row : report.running)
    ProcessRunningRun(*vm, row, sent, now);
  // A run in neither list may have ended nevertheless if an end is not listed.
  if (!report.may_have_more_ends) {
    ReleaseAbsentRuns(*vm, report, sent, now);
    vm->reconciled = true;
  }
  tails_.Observe(*vm, now);
  if (!vm->reachable) UnmarkCrashingRuns(*vm);
  vm->reachable = true;
  if (vm->known_since == Millis(0)) vm->known_since = now;
  vm->outage.reset();
  vm->lease_expired = false;
  if (vm->in_journal) return;
  dirty_vms_.try_emplace(id, vm->last_end);
  if (vm->journal_batch == 0) urgent_changes_ = true;
}

bool Scheduler::IsUnjournaledRun(const Vm& vm, const Job* job, const Task* task,
                                 int run) const {
  // An earlier owner started the run and could not record it any more.
  return task && !task->done && vm.inherited && job->inherited &&
         !IsFinal(job->record.status) && run > task->journaled_run &&
         run < task->run_base + first_run_number_;
}

/// Whether the end counts although its run is not known: it was released
/// before, or was never recorded.
static bool CountsWithoutRun(const Job* job, const Task* task,
                             const EndedRunReport& row) {
  // It is acknowledged, so the task must not run again. The home cell of a
  // guest job, or the host of a task, decides about the others.
  return task && row.end == RunEnd::kDone && !job->IsGuest() &&
         !task->IsElsewhere();
}

void Scheduler::ProcessRunningRun(Vm& vm, const RunningRunReport& row,
                                  Millis sent, Millis now) {
  Job* job = FindJob(row.task.job);
  Task* task = job ? job->FindOrAdd(row.task) : nullptr;
  Run* run = task ? task->FindRun(row.run, vm.listing.id) : nullptr;
  const RunKey key{row.task, row.run};
  const bool unjournaled = !run && IsUnjournaledRun(vm, job, task, row.run) &&
                           row.run > task->last_run;
  if (unjournaled && !vm.lease_expired) {
    run = &task->runs.emplace_back();
    run->number = row.run;
    run->vm = vm.listing.id;
    run->created_at = run->last_command_at = now;
    run->journal_batch = taken_batches_ + 1;
    task->last_run = row.run;
    const StepSpec& spec = job->record.spec.steps[row.task.step];
    vm.Add(key, MakeRunOnVm(spec));
    job->started = true;
    MarkTaskDirty(*job, row.task);
    NoteRun(RunEventKind::kFound, vm, key, now);
  }
  if (!run) {
    RunOnVm orphan;
    orphan.needs_unknown = true;
    vm.Add(key, orphan);
    vm.FindRun(key)->absent_since = Millis(0);
    const bool is_new =
        orphaned_runs_.try_emplace({vm.listing.id, key}, Millis(0)).second;
    if (is_new) NoteRun(RunEventKind::kOrphaned, vm, key, now);
    return;
  }
  job->begun = true;
  if (run->phase == RunPhase::kStarting || run->phase == RunPhase::kInDoubt) {
    run->phase = RunPhase::kRunning;
    run->confirmed_at = now;
    run->progressed_at = now;
    if (run->running_since == Millis(0))
      NoteRun(RunEventKind::kStartConfirmed, vm, key, now);
  }
  // The stop was confirmed before the run began, or had no effect.
  if (run->stop_confirmed && sent > StoppedBy(*run))
    run->stop_confirmed = false;
  if (run->running_since == Millis(0)) run->running_since = now;
  ForgetExecutedStart(vm, key, *run);
  if (task->IsSuspect() && crash_policy_.IsCleared(sent - run->running_since)) {
    task->crashes = 0;
    MarkTaskDirty(*job, row.task);
  }
  run->absent = false;
  if (row.percent > run->percent) {
    run->percent = row.percent;
    run->progressed_at = now;
  }
  // A long-running task never ends as done, which shows the same of its VM.
  const bool at_work = row.percent >= 100;
  if (at_work && job->record.spec.steps[row.task.step].long_running)
    vm.consecutive_failures = 0;
  task->SaveCheckpoint(row.checkpoint, now);
  if (!row.checkpoint.empty()) job->NoteChange(row.task);
  if (RunOnVm* charged_run = vm.FindRun(key)) {
    charged_run->measurement = row.measurement;
    charged_run->confirmed = true;
  }
}

void Scheduler::ProcessEndedRun(Vm& vm, const EndedRunReport& row,
                                std::optional<RunEventKind> void_by,
                                bool may_be_void, Millis now) {
  const RunKey key{row.task, row.run};
  const bool is_done = row.end == RunEnd::kDone;
  Job* job = FindJob(row.task.job);
  Task* task = job ? job->FindOrAdd(row.task) : nullptr;
  const Run* run = task ? task->FindRun(row.run, vm.listing.id) : nullptr;
  const bool unjournaled = !run && IsUnjournaledRun(vm, job, task, row.run);
  const RunOnVm* charged_run = vm.FindRun(key);
  const bool timed = run && run->created_at > Millis(0) && charged_run &&
                     charged_run->pace_changed_at == Millis(0);
  std::optional<Millis> run_time;
  if (timed && row.end == RunEnd::kDone) {
    run_time = now - run->created_at;
    tier_policy_.OnRunDone(job->record.queue, *run_time);
    run_times_.Add(charged_run->image, *run_time);
  }
  if (run) ForgetExecutedStart(vm, key, *run);
  HoldEnd(vm, job, task, row, now);
  if (task) ObserveEndForCopies(*job, *task, row, run_time);
  const bool known = run || unjournaled;
  const bool counts =
      known || (!may_be_void && CountsWithoutRun(job, task, row));
  ReleaseRun(vm, row.task, row.run);
  if (!known) NoteRun(RunEventKind::kUnknownEnd, vm, key, now, row.number);
  if (!counts || IsFinal(job->record.status)) return;
  task->last_run = std::max(task->last_run, row.run);
  job->started = job->begun = true;
  MarkTaskDirty(*job, row.task);
  if (void_by || task->done) {
    const RunEventKind ignored = void_by.value_or(RunEventKind::kDoneBefore);
    if (is_done) NoteRun(ignored, vm, key, now, row.number);
    return;
  }
  task->SaveCheckpoint(row.checkpoint, now);
  if (is_done) {
    NoteRun(RunEventKind::kDone, vm, key, now, row.number);
    vm.consecutive_failures = 0;
    OnTaskDone(*job, *task, row, now);
    ApplyDone(*job, row.task);
    return;
  }
  if (row.end == RunEnd::kFailed) ApplyFailure(*job, row.task, vm, now);
}

void Scheduler::ApplyDone(Job& job, const TaskRef& ref) {
  if (job.record.spec.steps[ref.step].long_running) return;
  Occurrence& occurrence = *job.FindOccurrence(ref.occurrence);
  Step& step = occurrence.steps[ref.step];
  // The job of a hosted task ends in its home cell.
  if (job.IsGuest()) ReturnTaskOrGang(job, ref);
  if (job.record.spec.steps[ref.step].gang) {
    MarkProgressDirty(job);
    for (Task& task : step.tasks) task.done = true;
    step.done = static_cast<int>(step.tasks.size());
  } else {
    step.tasks[ref.index].done = true;
    ++step.done;
  }
  FinishOccurrenceIfDone(job, occurrence);
}

void Scheduler::FinishOccurrenceIfDone(Job& job, const Occurrence& occurrence) {
  if (!occurrence.IsDone() || job.IsGuest()) return;
  ++job.finished_occurrences;
  if (job.finished_occurrences >= job.record.spec.Occurrences()) {
    EndJob(job, JobStatus::kDone, wall_ms_);
  }
}

void Scheduler::ApplyFailure(Job& job, const TaskRef& ref, Vm& vm, Millis now) {
  Task& task = job.At(ref);
  ++task.failures;
  task.failed_on.push_back(vm.listing.id);
  RecordVmFailure(vm, now);
  const StepSpec& spec = job.record.spec.steps[ref.step];
  if (spec.long_running) return;
  if (FailuresOf(job, ref) < job.record.attempts) return;
  if (job.IsGuest()) {
    ReturnTaskOrGang(job, ref);
  } else {
    EndJob(job, JobStatus::kFailed, wall_ms_);
  }
}

void Scheduler::RecordVmFailure(Vm& vm, Millis now) {
  ++vm.consecutive_failures;
  if (vm.consecutive_failures < settings_.quarantine_failures) return;
  vm.quarantined_until = now + settings_.quarantine_duration;
}

void Scheduler::OnCommandOutcome(const RunCommand& command,
                                 RunCommandOutcome outcome,
                                 std::int64_t clock_ms, Millis sent,
                                 Millis now) {
  Vm* vm = FindVm(command.vm);
  if (!vm) return;
  // Another incarnation answers with its own clock.
  const bool from_present_worker =
      sent >= vm->known_since && outcome != RunCommandOutcome::kRestarted;
  if (clock_ms > 0 && from_present_worker) vm->UpdateClock(clock_ms, sent, now);
  Task* task = FindTask(command.task);
  const RunKey key{command.task, command.run};
  Run* run = FindRun(key, command.vm);
  if (outcome == RunCommandOutcome::kRestarted) {
    if (OnCommandToRestartedVm(*vm, command, run, sent, now)) return;
    outcome = RunCommandOutcome::kUnknown;
  }
  if (outcome == RunCommandOutcome::kOtherWorker) {
    // Nothing is started there, and no lease extended, until the new worker has
    // reported.
    if (vm->IsPresentCall(sent))
      OnVmUnreachable(command.vm, VmOutage::kDisconnected, now);
    outcome = RunCommandOutcome::kNotSent;
  }
  if (!run) return;
  if (command.kind == RunCommandKind::kStop) {
    if (outcome != RunCommandOutcome::kDone) return;
    run->stop_confirmed = true;
    run->confirmed_at = now;
    return;
  }
  RunOnVm* charged_run = vm->FindRun(key);
  if (command.kind == RunCommandKind::kPace) {
    // An unanswered pace command is sent again.
    if (outcome == RunCommandOutcome::kUnknown && charged_run)
      charged_run->commanded_pace_percent = -1;
    return;
  }
  const bool may_have_begun = outcome == RunCommandOutcome::kDone ||
                              outcome == RunCommandOutcome::kUnknown ||
                              outcome == RunCommandOutcome::kSuperseded;
  if (may_have_begun) FindJob(command.task.job)->begun = true;
  switch (outcome) {
    case RunCommandOutcome::kDone:
      if (run->phase == RunPhase::kStopping) return;
      if (run->running_since == Millis(0))
        NoteRun(RunEventKind::kStartConfirmed, *vm, key, now);
      run->phase = RunPhase::kRunning;
      run->confirmed_at = now;
      run->progressed_at = now;
      run->running_since = now;
      if (charged_run) charged_run->confirmed = true;
      return;
    case RunCommandOutcome::kUnknown:
      NoteUnansweredStart(*vm, key, *run, sent);
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kInDoubt;
      return;
    case RunCommandOutcome::kSuperseded:
      // The VM's list of ends contains the end of the run, or will contain it
      // once earlier ends are acknowledged.
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kRunning;
      run->confirmed_at = now;
      return;
    default:
      break;
  }
  if (run->had_unanswered_start) return;
  NoteRun(RunEventKind::kReleasedAsRefused, *vm, key, now);
  ReleaseRun(*vm, command.task, command.run);
  task->not_before = now + settings_.start_retry_interval;
  if (outcome == RunCommandOutcome::kRefused) {
    task->failed_on.push_back(command.vm);
    RecordVmFailure(*vm, now);
  }
}

}  // namespace basilspur::jobs
