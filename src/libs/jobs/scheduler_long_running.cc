#include <algorithm>

#include "jobs/long_running_wait.h"
#include "jobs/scheduler.h"

namespace basilspur::jobs {

static bool HasConfirmedRun(const Task& task) {
  return std::any_of(task.runs.begin(), task.runs.end(), [](const Run& run) {
    return run.phase == RunPhase::kRunning;
  });
}

void Scheduler::UpdateLongRunningWaits(Job& job, Millis now) {
  if (!job.record.spec.IsLongRunning()) return;
  job.ForEachTask([&](const TaskRef& ref, Task& task) {
    const bool runs =
        HasConfirmedRun(task) || (task.host_cell >= 0 && task.runs_at_host);
    const bool is_wanted =
        job.record.spec.steps[ref.step].long_running &&
        (!job.IsGuest() || task.hosting == HostingState::kHosted);
    if (runs || !is_wanted) {
      task.without_run_since = Millis(0);
    } else if (task.without_run_since == Millis(0)) {
      task.without_run_since = now;
    }
  });
}

bool Scheduler::IsUrgent(const Task& task, Millis now) const {
  if (task.hosting == HostingState::kHosted || task.last_run > 0) return true;
  return task.without_run_since != Millis(0) &&
         now - task.without_run_since >= settings_.max_first_start_delay;
}

void Scheduler::PlanLongRunningTasks(const std::vector<Vm*>& vms, Millis now,
                                     std::vector<RunCommand>& commands) {
  for (const auto& [key, job] : active_jobs_) {
    const std::vector<StepSpec>& specs = job->record.spec.steps;
    if (!job->record.spec.IsLongRunning() || !CanStartRuns(*job)) continue;
    for (Occurrence& occurrence : job->occurrences) {
      for (int step = 0; step < static_cast<int>(specs.size()); ++step) {
        if (!specs[step].long_running || specs[step].gang) continue;
        if (!job->DependenciesDone(occurrence, step)) continue;
        PlanStep(*job, occurrence, step, /*urgent=*/true, vms, now, commands);
      }
    }
  }
}

bool Scheduler::HasVmForLater(const Job& job, const TaskRef& ref,
                              Millis now) const {
  const StepSpec& spec = job.record.spec.steps[ref.step];
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    const Vm& vm = *entry.second;
    return !vm.ReservationOfOther(ref, now) &&
           placer_.MayHostLater(vm, spec, job.record.service, ref, now);
  });
}

const Vm* Scheduler::VmReservedFor(const TaskRef& ref, Millis now) const {
  for (const auto& [id, vm] : vms_) {
    if (vm->reservation && now < vm->reservation->until &&
        vm->reservation->task == ref)
      return vm.get();
  }
  return nullptr;
}

LongRunningHold Scheduler::HoldOf(const Job& job, const TaskRef& ref,
                                  const Task& task, Millis now) const {
  if (task.placement_batch > durable_batches_) return LongRunningHold::kJournal;
  if (task.host_cell >= 0) {
    if (task.recalled) return LongRunningHold::kRecall;
    const bool answered = task.waiting_at_host_since != Millis(0);
    return answered ? LongRunningHold::kHost : LongRunningHold::kHostSilent;
  }
  if (!task.runs.empty()) {
    const bool starts = task.runs.back().phase == RunPhase::kStarting;
    return starts ? LongRunningHold::kStart : LongRunningHold::kEnd;
  }
  if (!CanStartRuns(job)) return LongRunningHold::kOwner;
  if (now < task.not_before) return LongRunningHold::kRetry;
  return VmReservedFor(ref, now) ? LongRunningHold::kReservedRoom
                                 : LongRunningHold::kRoom;
}

std::vector<LongRunningWait> Scheduler::LongRunningWaits(Millis min_age,
                                                         std::size_t max_count,
                                                         Millis now) const {
  std::vector<LongRunningWait> waits;
  for (const auto& [key, job] : active_jobs_) {
    if (!job->record.spec.IsLongRunning()) continue;
    job->ForEachTask([&, job = job](const TaskRef& ref, const Task& task) {
      const Millis since = task.without_run_since;
      if (since == Millis(0) || now - since < min_age) return;
      LongRunningWait& wait = waits.emplace_back();
      wait.task = ref;
      wait.age = now - since;
    });
  }
  const std::size_t kept = std::min(waits.size(), max_count);
  std::partial_sort(waits.begin(), waits.begin() + kept, waits.end(),
                    [](const LongRunningWait& a, const LongRunningWait& b) {
                      return a.age > b.age;
                    });
  waits.resize(kept);
  for (LongRunningWait& wait : waits) {
    Job& job = *jobs_.at(wait.task.job);
    const Task& task = job.At(wait.task);
    wait.hold = HoldOf(job, wait.task, task, now);
    wait.host_cell = task.host_cell;
    wait.delegations = task.delegation;
    const StepSpec& spec = SpecOf(wait.task);
    wait.need_cpu_millis = spec.need.cpu_millis;
    wait.options = OptionsFor(job, wait.task, now);
    for (const auto& [id, vm] : vms_) {
      if (placer_.MayHostLater(*vm, spec, job.record.service, wait.task, now))
        ++wait.vms_beside_long_running;
    }
    const Vm* reserved = VmReservedFor(wait.task, now);
    if (!reserved) continue;
    wait.reserved_vm = reserved->listing.id;
    wait.reserved_free_cpu_millis = reserved->Free().cpu_millis;
  }
  return waits;
}

}  // namespace basilspur::jobs
