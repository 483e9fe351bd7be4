#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::int64_t Scheduler::NextDeadline(const std::string& vm, Millis now) {
  Vm* known = FindVm(vm);
  if (!known) return 0;
  const auto deadline = known->LeaseDeadline(settings_.lease, now);
  // The lease of a silent VM has to run out some day.
  if (!deadline || !known->reachable || known->lease_bound_published) return 0;
  known->RecordLeaseDeadline(*deadline);
  return *deadline;
}

std::int64_t Scheduler::AcknowledgedEnd(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? 0 : found->second->durable_end;
}

std::int64_t Scheduler::NewestEnd(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found == vms_.end() ? 0 : found->second->last_end;
}

bool Scheduler::HasUnacknowledgedEnds(const std::string& vm) const {
  const auto found = vms_.find(vm);
  return found != vms_.end() &&
         found->second->last_end > found->second->durable_end;
}

void Scheduler::OnReport(const std::string& id, const VmReport& report,
                         Millis sent, Millis now) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  const bool lease_expired =
      vm->UpdateClock(report.clock_ms, sent, now) || vm->lease_expired;
  // What ended before the lease lapsed, and was not acknowledged, is void.
  std::int64_t last_lapse = 0;
  for (const EndedRunReport& row : report.ended) {
    if (row.end == RunEnd::kLapsed) last_lapse = row.number;
  }
  for (const EndedRunReport& row : report.ended) {
    if (row.number <= vm->last_end) continue;
    TakeEnd(*vm, row, lease_expired || row.number < last_lapse, now);
    vm->last_end = row.number;
    new_ends_[id] = row.number;
  }
  for (const RunningRunReport& row : report.running)
    AdoptRunning(*vm, row, now);
  ReleaseAbsentRuns(*vm, report, sent);
  tails_.Observe(*vm, now);
  vm->reachable = true;
  vm->lease_expired = false;
  vm->settled = true;
}

bool Scheduler::IsUnrecorded(const Job* job, const Task* task, int run) const {
  // An owner of an earlier term ordered it and could not record it any more.
  return task && !task->done && job->old && !IsFinal(job->record.status) &&
         run > task->recorded_run && run < first_run_;
}

void Scheduler::AdoptRunning(Vm& vm, const RunningRunReport& row, Millis now) {
  Job* job = FindJob(row.task.job);
  Task* task = job ? job->FindOrAdd(row.task) : nullptr;
  Run* run = task ? task->FindRun(row.run) : nullptr;
  const RunKey key{row.task, row.run};
  const bool unrecorded =
      !run && IsUnrecorded(job, task, row.run) && row.run > task->last_run;
  if (unrecorded && !vm.lease_expired) {
    run = &task->runs.emplace_back();
    run->number = row.run;
    run->vm = vm.listing.id;
    run->began = run->ordered = now;
    task->last_run = row.run;
    const StepSpec& spec = job->record.spec.steps[row.task.step];
    vm.Add(key, MakeRunOnVm(spec));
    job->begun = true;
    MarkProgress(*job);
  }
  if (!run || run->vm != vm.listing.id) {
    // What it takes is not known: nothing else is placed beside it.
    vm.Add(key, {vm.Free(), 0, 0});
    strays_.try_emplace({vm.listing.id, key}, Millis(0));
    return;
  }
  if (run->phase == RunPhase::kOrdered || run->phase == RunPhase::kInDoubt) {
    run->phase = RunPhase::kRunning;
    run->settled = now;
    run->advanced = now;
  }
  run->missing = false;
  if (row.percent > run->percent) {
    run->percent = row.percent;
    run->advanced = now;
  }
  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  if (RunOnVm* charged = vm.FindRun(key)) {
    charged->measurement = row.measurement;
    charged->confirmed = true;
  }
}

void Scheduler::ReleaseRun(Vm& vm, const TaskRef& ref, int number) {
  vm.Remove({ref, number});
  strays_.erase({vm.listing.id, {ref, number}});
  Job* job = FindJob(ref.job);
  Task* task = job ? job->Find(ref) : nullptr;
  if (!task) return;
  std::erase_if(task->runs, [&](const Run& run) {
    return run.number == number && run.vm == vm.listing.id;
  });
}

bool Scheduler::IsSurelyOver(Run& run, Millis sent) const {
  // A run that is being stopped is on neither list until it has ended.
  const Millis stopped_by =
      run.settled + settings_.stop_time + settings_.stop_margin;
  if (run.stop_confirmed) return sent > stopped_by;
  if (run.phase == RunPhase::kInDoubt && run.ordered == Millis(0)) {
    // An earlier owner's: it has ended, or is being stopped.
    run.phase = RunPhase::kStopping;
    run.ordered = run.settled = sent;
    run.stop_confirmed = true;
    return false;
  }
  if (run.phase != RunPhase::kRunning || run.settled >= sent) return false;
  if (!run.missing) run.settled = sent;
  run.missing = true;
  return sent > run.settled + settings_.stop_time + settings_.stop_margin;
}

void Scheduler::ReleaseAbsentRuns(Vm& vm, const VmReport& report, Millis sent) {
  std::vector<RunKey> absent;
  for (const auto& [key, charge] : vm.Runs()) {
    const auto has = [&key = key](const auto& row) {
      return row.task == key.first && row.run == key.second;
    };
    if (std::any_of(report.running.begin(), report.running.end(), has)) {
      continue;
    }
    Job* job = FindJob(key.first.job);
    Task* task = job ? job->Find(key.first) : nullptr;
    Run* run = task ? task->FindRun(key.second) : nullptr;
    if (!run) {
      absent.push_back(key);
      continue;
    }
    if (IsSurelyOver(*run, sent)) absent.push_back(key);
  }
  for (const RunKey& key : absent) {
    ReleaseRun(vm, key.first, key.second);
    Job* job = FindJob(key.first.job);
    if (job) MarkProgress(*job);
  }
}

void Scheduler::TakeEnd(Vm& vm, const EndedRunReport& row, bool lease_lapsed,
                        Millis now) {
  Job* job = FindJob(row.task.job);
  Task* task = job ? job->FindOrAdd(row.task) : nullptr;
  const Run* run = task ? task->FindRun(row.run) : nullptr;
  const bool ours = run && run->vm == vm.listing.id;
  const bool unrecorded = !run && IsUnrecorded(job, task, row.run);
  const RunOnVm* charge = vm.FindRun({row.task, row.run});
  const bool timed = run && run->began > Millis(0) && charge &&
                     charge->pace_changed_at == Millis(0);
  if (ours && timed && row.end == RunEnd::kDone) {
    order_.OnRunDone(job->record.queue, now - run->began);
  }
  ReleaseRun(vm, row.task, row.run);
  if (!task || task->done || IsFinal(job->record.status)) return;
  if (!ours && !unrecorded) return;
  task->last_run = std::max(task->last_run, row.run);
  job->begun = true;
  MarkProgress(*job);
  if (lease_lapsed) return;
  if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  if (row.end == RunEnd::kDone) {
    vm.consecutive_failures = 0;
    ApplyDone(*job, row.task);
    return;
  }
  if (row.end == RunEnd::kFailed) ApplyFailure(*job, row.task, vm, now);
}

void Scheduler::ApplyDone(Job& job, const TaskRef& ref) {
  if (job.record.spec.steps[ref.step].long_running) return;
  Occurrence& occurrence = *job.FindOccurrence(ref.occurrence);
  Step& step = occurrence.steps[ref.step];
  if (job.record.spec.steps[ref.step].gang) {
    for (Task& task : step.tasks) task.done = true;
    step.done = static_cast<int>(step.tasks.size());
  } else {
    step.tasks[ref.index].done = true;
    ++step.done;
  }
  FinishStep(job, occurrence, ref.step);
}

void Scheduler::FinishStep(Job& job, Occurrence& occurrence, int step) {
  const Step& state = occurrence.steps[step];
  if (state.done < static_cast<int>(state.tasks.size())) return;
  ++occurrence.steps_done;
  if (occurrence.steps_done < static_cast<int>(occurrence.steps.size())) return;
  ++job.finished_occurrences;
  if (job.finished_occurrences >= job.record.spec.Occurrences()) {
    EndJob(job, JobStatus::kDone, wall_ms_);
  }
}

void Scheduler::ApplyFailure(Job& job, const TaskRef& ref, Vm& vm, Millis now) {
  Task& task = job.At(ref);
  ++task.failures;
  task.failed_on.push_back(vm.listing.id);
  NoteVmFailure(vm, now);
  const StepSpec& spec = job.record.spec.steps[ref.step];
  if (spec.long_running) return;
  int failures = task.failures;
  if (spec.gang) {
    failures = 0;
    Occurrence& occurrence = *job.FindOccurrence(ref.occurrence);
    for (const Task& member : occurrence.steps[ref.step].tasks) {
      failures += member.failures;
    }
  }
  if (failures >= job.record.attempts)
    EndJob(job, JobStatus::kFailed, wall_ms_);
}

void Scheduler::NoteVmFailure(Vm& vm, Millis now) {
  ++vm.consecutive_failures;
  if (vm.consecutive_failures < settings_.failures_to_quarantine) return;
  vm.quarantined_until = now + settings_.quarantine;
}

void Scheduler::OnSilent(const std::string& id, Millis now) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  if (vm->reachable) vm->unreachable_since = now;
  vm->reachable = false;
}

void Scheduler::GiveUpRuns(Vm& vm) {
  std::vector<RunKey> keys;
  for (const auto& [key, run] : vm.Runs()) keys.push_back(key);
  for (const RunKey& key : keys) {
    ReleaseRun(vm, key.first, key.second);
    Job* job = FindJob(key.first.job);
    if (job) MarkProgress(*job);
  }
  vm.Clear();
}

void Scheduler::OnOtherLife(const std::string& id) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  GiveUpRuns(*vm);
  vm->reachable = false;
  vm->settled = true;
  vm->lease_expired = true;
}

void Scheduler::CheckLapses(Millis now) {
  all_settled_ = true;
  for (auto at = vms_.begin(); at != vms_.end();) {
    Vm& vm = *at->second;
    if (!vm.reachable && !vm.lease_expired && vm.HasLeaseExpired(now)) {
      GiveUpRuns(vm);
      vm.lease_expired = true;
      vm.settled = true;
    }
    all_settled_ = all_settled_ && vm.settled;
    const bool gone = !vm.listed && vm.Runs().empty() && vm.lease_expired;
    if (gone) dropped_.push_back({"v" + at->first, {}});
    at = gone ? vms_.erase(at) : std::next(at);
  }
}

void Scheduler::OnOrderOutcome(const Order& order, OrderOutcome outcome,
                               std::int64_t clock_ms, Millis sent, Millis now) {
  Vm* vm = FindVm(order.vm);
  if (!vm) return;
  if (clock_ms > 0) vm->UpdateClock(clock_ms, sent, now);
  if (outcome == OrderOutcome::kOtherLife) {
    OnOtherLife(order.vm);
    return;
  }
  Job* job = FindJob(order.task.job);
  Task* task = job ? job->Find(order.task) : nullptr;
  Run* run = task ? task->FindRun(order.run) : nullptr;
  if (!run || run->vm != order.vm) return;
  if (order.kind == OrderKind::kStop) {
    if (outcome != OrderOutcome::kDone) return;
    run->stop_confirmed = true;
    run->settled = now;
    return;
  }
  RunOnVm* charge = vm->FindRun({order.task, order.run});
  if (order.kind == OrderKind::kPace) {
    // Without an answer it is sent again.
    if (outcome == OrderOutcome::kUnknown && charge)
      charge->ordered_pace_percent = -1;
    return;
  }
  switch (outcome) {
    case OrderOutcome::kDone:
      if (run->phase == RunPhase::kStopping) return;
      run->phase = RunPhase::kRunning;
      run->settled = now;
      run->advanced = now;
      if (charge) charge->confirmed = true;
      return;
    case OrderOutcome::kUnknown:
      run->in_doubt = true;
      if (run->phase == RunPhase::kOrdered) run->phase = RunPhase::kInDoubt;
      return;
    case OrderOutcome::kSuperseded:
      // Its end is on the VM's list, or will be after the acknowledged ones.
      if (run->phase == RunPhase::kOrdered) run->phase = RunPhase::kRunning;
      run->settled = now;
      return;
    default:
      break;
  }
  if (run->in_doubt) return;
  ReleaseRun(*vm, order.task, order.run);
  task->not_before = now + settings_.start_retry;
  if (outcome == OrderOutcome::kRefused) {
    task->failed_on.push_back(order.vm);
    NoteVmFailure(*vm, now);
  }
}

}  // namespace basilspur::jobs
