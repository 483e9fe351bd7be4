#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::NoteLateStart(Vm& vm, const RunKey& key, Millis until) {
  const Job* job = FindJob(key.first.job);
  if (!job) return;
  const StepSpec& spec = job->record.spec.steps[key.first.step];
  // Long-running tasks have no end that a late start could follow, and several
  // runs of a speculative step's task may compete.
  if (spec.long_running || spec.speculative) return;
  // A VM that does not name its worker's start gets another id with each start,
  // and its next worker rejects the copy.
  if (vm.worker_start_ms == 0) return;
  if (!late_starts_.Add(vm.listing.id, key, until)) return;
  dirty_vms_.try_emplace(vm.listing.id, vm.last_end);
  urgent_changes_ = true;
  Run* run = FindRun(key, vm.listing.id);
  if (run) run->late_start_batch = taken_batches_ + 1;
}

void Scheduler::NoteUnansweredStart(Vm& vm, const RunKey& key, Run& run,
                                    Millis sent) {
  run.had_unanswered_start = true;
  if (IsOnlyCopyExecuted(run)) return;
  NoteLateStart(vm, key, sent + settings_.max_start_delay);
}

bool Scheduler::IsOnlyCopyExecuted(const Run& run) {
  return run.starts_sent == 1 && run.running_since > Millis(0);
}

void Scheduler::ForgetExecutedStart(Vm& vm, const RunKey& key, const Run& run) {
  if (run.starts_sent != 1 || !run.had_unanswered_start) return;
  if (late_starts_.Remove(vm.listing.id, key))
    dirty_vms_.try_emplace(vm.listing.id, vm.last_end);
}

void Scheduler::NoteStartOfReleasedRun(Vm& vm, const RunKey& key,
                                       bool vm_has_answered) {
  const Run* run = FindRun(key, vm.listing.id);
  if (!run || run->running_since > Millis(0)) return;
  // An earlier owner has sent it before this one took over.
  const bool inherited = run->starts_sent == 0;
  const Millis sent = inherited ? restored_at_ : run->start_sent_at;
  const Millis until = sent + settings_.max_start_delay;
  if (inherited && !vm_has_answered) {
    // It was executed most likely.
    if (vm.worker_start_ms > 0)
      inherited_starts_.Add(vm.listing.id, key, until);
    return;
  }
  NoteLateStart(vm, key, until);
}

bool Scheduler::MayStartAfterEnd(const TaskRef& task) const {
  return late_starts_.MayStart(task) || inherited_starts_.MayStart(task);
}

void Scheduler::HoldEnd(const Vm& vm, const Job* job, const Task* task,
                        const EndedRunReport& row, Millis now) {
  if (row.end != RunEnd::kDone && row.end != RunEnd::kFailed) return;
  HeldEnd end{row.number, vm.worker_start_ms, row.task, row.run};
  end.waits_for_later_run =
      task && row.end == RunEnd::kDone &&
      CopyPolicy::IsEligible(job->record.spec.steps[row.task.step]) &&
      RunThatMayStartAfter(*task, row.run);
  if (!end.waits_for_later_run && !MayStartAfterEnd(row.task)) return;
  held_ends_.Add(vm.listing.id, end);
  NoteRun(RunEventKind::kEndHeld, vm, {row.task, row.run}, now, row.number);
}

bool Scheduler::MustHold(const HeldEnd& end) {
  if (!end.waits_for_later_run) return MayStartAfterEnd(end.task);
  const Task* task = FindTask(end.task);
  return task && RunThatMayStartAfter(*task, end.run);
}

void Scheduler::ReleaseHeldEnds(Millis now) {
  inherited_starts_.RemoveExpired(now);
  for (const std::string& id : late_starts_.RemoveExpired(now)) {
    const Vm* vm = FindVm(id);
    if (vm) dirty_vms_.try_emplace(id, vm->last_end);
  }
  const auto must_hold = [&](const std::string& id, const HeldEnd& end) {
    const Vm* vm = FindVm(id);
    return vm && vm->worker_start_ms == end.worker_start_ms && MustHold(end);
  };
  for (const std::string& id : held_ends_.Release(must_hold)) {
    const Vm* vm = FindVm(id);
    if (!vm) continue;
    dirty_vms_[id] = vm->last_end;
    urgent_changes_ = true;
  }
}

void Scheduler::ReleaseEndsOfFullList(const Vm& vm, Millis now) {
  const std::string& id = vm.listing.id;
  const std::vector<HeldEnd> released = held_ends_.ReleaseHeldForLateStarts(id);
  if (released.empty()) return;
  for (const HeldEnd& end : released) {
    NoteRun(RunEventKind::kReleasedByFullList, vm, {end.task, end.run}, now,
            end.number);
  }
  dirty_vms_[id] = vm.last_end;
  urgent_changes_ = true;
}

bool Scheduler::HasHeldEnds(const std::string& vm) const {
  return held_ends_.Has(vm);
}

std::int64_t Scheduler::LastEndToRecord(const std::string& vm,
                                        std::int64_t end) const {
  return held_ends_.LastBefore(vm, end);
}

}  // namespace basilspur::jobs
