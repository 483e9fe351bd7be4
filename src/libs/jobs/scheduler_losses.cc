#include <utility>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::OnVmUnreachable(const std::string& id, VmOutage outage,
                                Millis now) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  if (vm->reachable) vm->unreachable_since = now;
  if (!vm->outage) vm->outage = outage;
  vm->reachable = false;
}

void Scheduler::OnVmRestarted(const std::string& id, Millis now) {
  Vm* vm = FindVm(id);
  if (!vm) return;
  LoseRuns(*vm, VmLossCause::kRestarted, now);
  vm->reachable = false;
  vm->reconciled = true;
  vm->lease_expired = true;
}

void Scheduler::ProcessExpiredLeases(Millis now) {
  all_vms_reconciled_ = true;
  for (auto it = vms_.begin(); it != vms_.end();) {
    Vm& vm = *it->second;
    if (!vm.reachable && !vm.lease_expired && vm.HasLeaseExpired(now)) {
      LoseRuns(vm, VmLossCause::kLeaseExpired, now);
      vm.lease_expired = true;
      vm.reconciled = true;
    }
    all_vms_reconciled_ = all_vms_reconciled_ && vm.reconciled;
    const bool removable = !vm.listed && vm.Runs().empty() && vm.lease_expired;
    if (removable) {
      pending_deletions_.push_back({"v" + it->first, {}});
      dirty_vms_.erase(it->first);
    }
    it = removable ? vms_.erase(it) : std::next(it);
  }
}

VmLoss Scheduler::MakeVmLoss(const Vm& vm, VmLossCause cause, Millis now) {
  const Millis lost_at = vm.outage ? vm.unreachable_since : now;
  VmLoss loss;
  loss.vm = vm.listing.id;
  loss.cause = cause;
  loss.outage = vm.outage;
  for (const auto& [key, charged_run] : vm.Runs()) {
    Job* job = FindJob(key.first.job);
    Task* task = job ? job->Find(key.first) : nullptr;
    const Run* run = task ? task->FindRun(key.second, vm.listing.id) : nullptr;
    LostRun& lost = loss.runs.emplace_back();
    lost.task = key.first;
    lost.run = key.second;
    if (!run || run->created_at == Millis(0)) continue;
    const bool confirmed =
        run->running_since > Millis(0) && run->running_since < lost_at;
    lost.age = confirmed ? lost_at - run->running_since : Millis(0);
  }
  return loss;
}

void Scheduler::LoseRuns(Vm& vm, VmLossCause cause, Millis now) {
  VmLoss loss = MakeVmLoss(vm, cause, now);
  ReleaseAllRuns(vm);
  if (!loss.runs.empty()) vm_losses_.push_back(std::move(loss));
}

std::vector<VmLoss> Scheduler::TakeVmLosses() {
  return std::exchange(vm_losses_, {});
}

}  // namespace basilspur::jobs
