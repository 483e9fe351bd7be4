#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::OnVmUnreachable(const std::string& id, VmOutage outage,
                                Millis now) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  if (vm->reachable) vm->unreachable_since = now;
  vm->reachable = false;
  if (vm->outage) return;
  vm->outage = outage;
  if (outage == VmOutage::kDisconnected) MarkCrashingRuns(*vm, now);
}

void Scheduler::MarkCrashingRuns(Vm& vm, Millis now) {
  // The journal has to name them before the VM is known to be lost, since the
  // owner may end before that. A loss by a lease that expires looks the same.
  const VmLoss loss = MakeVmLoss(vm, VmLossCause::kLeaseExpired, now);
  for (const CrashSuspect& suspect : crash_policy_.SelectSuspects(loss)) {
    Task* task = FindTask(suspect.task);
    if (!task) continue;
    for (Run& run : task->runs) {
      if (run.vm == vm.listing.id) run.may_have_crashed_vm = true;
    }
    MarkTaskDirty(*FindJob(suspect.task.job), suspect.task);
    urgent_changes_ = true;
  }
}

void Scheduler::UnmarkCrashingRuns(Vm& vm) {
  for (const auto& [key, charged_run] : vm.Runs()) {
    Run* run = FindRun(key, vm.listing.id);
    if (!run || !run->may_have_crashed_vm) continue;
    run->may_have_crashed_vm = false;
    MarkTaskDirty(*FindJob(key.first.job), key.first);
  }
}

bool Scheduler::OnVmRestarted(const std::string& id, Millis sent, Millis now) {
  Vm* vm = FindVm(id);
  return vm && LoseRestartedVm(*vm, sent, now, {});
}

bool Scheduler::LoseRestartedVm(Vm& vm, Millis sent, Millis now,
                                std::optional<Millis> restarted_before) {
  if (!vm.IsPresentCall(sent)) return false;
  if (!vm.IsKnownAtAddress()) {
    // It may live at another address, so only its lease ends its runs.
    OnVmUnreachable(vm.listing.id, VmOutage::kSilent, now);
    return false;
  }
  LoseRuns(vm, VmLossCause::kRestarted, now, {}, restarted_before);
  // Whatever starts there has another id, and rejects calls for this one.
  if (late_starts_.RemoveAllOn(vm.listing.id))
    dirty_vms_.try_emplace(vm.listing.id, vm.last_end);
  vm.reachable = false;
  vm.reconciled = true;
  vm.lease_expired = true;
  return true;
}

bool Scheduler::OnCommandToRestartedVm(Vm& vm, const RunCommand& command,
                                       const Run* run, Millis sent,
                                       Millis now) {
  const bool only_start =
      command.kind == RunCommandKind::kStart && run && run->starts_sent == 1;
  // A plan sends its starts together, so none of them has reached the former
  // incarnation.
  const Millis restarted_before =
      only_start ? std::min(run->created_at, sent) : sent;
  return LoseRestartedVm(vm, sent, now, restarted_before);
}

VmReach Scheduler::ReachOfVms(Millis now) const {
  VmReach reach;
  reach.journaled = lease_authority_.UndurableDeletions();
  for (const auto& [id, vm] : vms_) {
    if (vm->in_journal || vm->journal_batch > 0) ++reach.journaled;
    const bool reached = vm->in_journal && vm->reachable &&
                         lease_authority_.CountsAsReached(
                             vm->known_since, vm->answered_call_sent_at, now);
    if (reached) ++reach.reached;
  }
  return reach;
}

bool Scheduler::MayExtendLeases(Millis now) const {
  return lease_authority_.IsRenewalValid(now) || ReachOfVms(now).IsMajority();
}

bool Scheduler::AwaitsConfirmation(Millis now) const {
  const Millis certain = lease_authority_.SoleOwnerUntil(now);
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    const Vm& vm = *entry.second;
    const bool matters = !vm.Runs().empty() || !vm.reconciled;
    return matters && !vm.reachable && !vm.lease_expired &&
           vm.HasLeaseExpired(now) && !vm.HasLeaseExpired(certain);
  });
}

void Scheduler::ProcessExpiredLeases(Millis now) {
  // A successor that reaches the VM extends its lease.
  const Millis certain = lease_authority_.SoleOwnerUntil(now);
  all_vms_reconciled_ = true;
  for (auto it = vms_.begin(); it != vms_.end();) {
    Vm& vm = *it->second;
    if (!vm.reachable && !vm.lease_expired && vm.HasLeaseExpired(certain)) {
      LoseRuns(vm, VmLossCause::kLeaseExpired, now);
      vm.lease_expired = true;
      vm.reconciled = true;
    }
    all_vms_reconciled_ = all_vms_reconciled_ && vm.reconciled;
    const bool removable =
        !vm.HasDirectoryEntry() && vm.Runs().empty() && vm.lease_expired;
    if (removable) {
      pending_deletions_.push_back({"v" + it->first, {}});
      lease_authority_.OnVmDeleted();
      dirty_vms_.erase(it->first);
    }
    it = removable ? vms_.erase(it) : std::next(it);
  }
}

VmLoss Scheduler::MakeVmLoss(const Vm& vm, VmLossCause cause, Millis now,
                             std::optional<Millis> restarted_before) {
  const Millis lost_at = vm.outage ? vm.unreachable_since : now;
  VmLoss loss;
  loss.vm = vm.listing.id;
  loss.cause = cause;
  loss.outage = vm.outage;
  loss.was_draining = vm.listing.draining;
  for (const auto& [key, charged_run] : vm.Runs()) {
    const Task* task = FindTask(key.first);
    const Run* run = FindRun(key, vm.listing.id);
    LostRun& lost = loss.runs.emplace_back();
    lost.task = key.first;
    lost.run = key.second;
    lost.crashes = task ? task->crashes : 0;
    const bool is_inherited = !run || run->starts_sent == 0;
    const bool has_not_begun = !is_inherited && restarted_before &&
                               run->running_since == Millis(0) &&
                               run->created_at >= *restarted_before;
    if (has_not_begun) continue;
    lost.may_have_crashed_vm = run && run->may_have_crashed_vm;
    if (is_inherited) continue;
    const bool confirmed =
        run->running_since > Millis(0) && run->running_since < lost_at;
    lost.age = confirmed ? lost_at - run->running_since : Millis(0);
  }
  return loss;
}

void Scheduler::LoseRuns(Vm& vm, VmLossCause cause, Millis now,
                         const std::set<RunKey>& kept,
                         std::optional<Millis> restarted_before) {
  VmLoss loss = MakeVmLoss(vm, cause, now, restarted_before);
  std::erase_if(loss.runs, [&](const LostRun& run) {
    return kept.contains({run.task, run.run});
  });
  const RunEventKind released = cause == VmLossCause::kLeaseExpired
                                    ? RunEventKind::kReleasedByLease
                                    : RunEventKind::kReleasedByRestart;
  for (const LostRun& run : loss.runs) {
    NoteRun(released, vm, {run.task, run.run}, now);
    NoteStartOfReleasedRun(vm, {run.task, run.run},
                           cause == VmLossCause::kRestarted);
    ReleaseRun(vm, run.task, run.run);
    if (Job* job = FindJob(run.task.job)) MarkTaskDirty(*job, run.task);
  }
  CountCrash(loss);
  if (!loss.runs.empty()) vm_losses_.push_back(std::move(loss));
}

void Scheduler::CountCrash(VmLoss& loss) {
  for (const CrashSuspect& suspect : crash_policy_.SelectSuspects(loss)) {
    Job* job = FindJob(suspect.task.job);
    Task* task = job ? job->Find(suspect.task) : nullptr;
    if (!task || task->done || IsFinal(job->record.status)) continue;
    task->crashes = suspect.crashes;
    loss.suspects.push_back(suspect);
    MarkTaskDirty(*job, suspect.task);
    urgent_changes_ = true;
    // A successor has to know of more than one crash, so the next start waits
    // for the journal.
    if (task->crashes > 1) task->placement_batch = taken_batches_ + 1;
    // The owner of a guest job's home cell decides, by the host's report.
    if (task->crashes >= settings_.max_crashes && !job->IsGuest())
      EndJob(*job, JobStatus::kFailed, wall_ms_);
  }
}

bool Scheduler::MayIsolateVm(Millis now) const {
  const auto isolated = std::count_if(
      vms_.begin(), vms_.end(),
      [&](const auto& item) { return item.second->IsIsolated(now); });
  const auto max_isolated = static_cast<std::int64_t>(vms_.size()) *
                            settings_.max_isolated_vms_percent / 100;
  return isolated < std::max(max_isolated, std::int64_t{1});
}

std::vector<VmLoss> Scheduler::TakeVmLosses() {
  return std::exchange(vm_losses_, {});
}

}  // namespace basilspur::jobs
