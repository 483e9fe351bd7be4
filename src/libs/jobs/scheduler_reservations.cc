#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::ReserveCapacityFor(Job& job, const TaskRef& ref,
                                   const std::vector<Vm*>& vms, Millis now) {
  const StepSpec& spec = job.record.spec.steps[ref.step];
  const std::string& service = job.record.service;
  int reserved = 0;
  for (Vm* vm : vms) {
    if (!vm->reservation || now >= vm->reservation->until) continue;
    const bool is_own = vm->reservation->task == ref;
    // The VM may have begun to drain, its data center may have been closed, or
    // other long-running tasks may have taken its capacity, since it was
    // reserved. The task would wait for it for good.
    const bool may_host =
        is_own ? placer_.MayHostLater(*vm, spec, service, ref, now)
               : MaySendStart(vm->listing.id);
    if (!may_host) {
      vm->reservation.reset();
    } else if (is_own) {
      vm->reservation->until = now + settings_.reservation_duration;
      return;
    } else {
      ++reserved;
    }
  }
  const int share =
      static_cast<int>(vms.size()) * settings_.max_reserved_vms_percent / 100;
  if (reserved >= std::max(settings_.max_reservations, share)) return;
  Vm* vm = placer_.SelectVmToReserve(vms, spec, service, ref, now);
  if (!vm) return;
  vm->reservation =
      Reservation{ref, spec.Charge(), now + settings_.reservation_duration,
                  /*exclusive=*/false};
}

bool Scheduler::HasReservedVm(const TaskRef& ref, const StepSpec& spec,
                              Millis now) const {
  return preemptions_.contains(ref) ||
         (spec.long_running && VmReservedFor(ref, now));
}

void Scheduler::PlanEvacuations(const std::vector<Vm*>& vms, Millis now,
                                std::vector<RunCommand>& commands) {
  int moving = 0;
  std::vector<std::pair<const Vm*, RunKey>> to_evacuate;
  for (const Vm* vm : vms) {
    if (!vm->listing.draining || !vm->reachable) continue;
    for (const auto& [key, run] : vm->Runs()) {
      if (!run.long_running) continue;
      const Run* known = FindRun(key, vm->listing.id);
      if (!known) continue;
      if (known->phase == RunPhase::kStopping) ++moving;
      if (known->phase == RunPhase::kRunning) to_evacuate.emplace_back(vm, key);
    }
  }
  for (const auto& [vm, key] : to_evacuate) {
    if (moving >= settings_.max_concurrent_evacuations) return;
    if (Evacuate(*vm, key, vms, now, commands)) ++moving;
  }
}

bool Scheduler::Evacuate(const Vm& from, const RunKey& key,
                         const std::vector<Vm*>& vms, Millis now,
                         std::vector<RunCommand>& commands) {
  Job& job = *FindJob(key.first.job);
  if (IsFinal(job.record.status) || !CanStartRuns(job)) return false;
  const StepSpec& spec = job.record.spec.steps[key.first.step];
  if (spec.gang) return false;
  Task& task = job.At(key.first);
  const Placement place = placer_.SelectPlacement(vms, spec, job.record.service,
                                                  key.first, task, now);
  if (!place.vm) {
    ReserveCapacityFor(job, key.first, vms, now);
    return false;
  }
  Run& run = *task.FindRun(key.second, from.listing.id);
  if (!IssueStop(key.first, run, now, commands)) return false;
  // Reserves the place until the stopped run has ended.
  place.vm->reservation =
      Reservation{key.first, spec.Charge(),
                  now + settings_.max_stop_duration + settings_.stop_margin,
                  /*exclusive=*/true};
  return true;
}

}  // namespace basilspur::jobs
