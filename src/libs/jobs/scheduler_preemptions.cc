#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::vector<Preemption> Scheduler::TakePreemptions() {
  std::vector<Preemption> taken;
  for (auto& [task, preemption] : preemptions_) {
    if (!std::exchange(preemption.logged, true)) taken.push_back(preemption);
  }
  return taken;
}

bool Scheduler::MayBePreempted(const Job& job, const Task& task,
                               const Run& run) const {
  if (run.phase != RunPhase::kRunning || job.IsGuest()) return false;
  // IssueStop would issue no command.
  if (run.journal_batch > durable_batches_) return false;
  // An earlier owner may have stopped a run of the task.
  const bool first_run = task.journaled_run == 0 || run.number == 1;
  return !task.preempted && first_run;
}

std::vector<PreemptionPolicy::Candidate> Scheduler::PreemptionCandidates(
    const Vm& vm, int priority, Millis now) {
  std::vector<PreemptionPolicy::Candidate> candidates;
  for (const auto& [key, charged_run] : vm.Runs()) {
    const Job* job = FindJob(key.first.job);
    if (!job || IsFinal(job->record.status)) continue;
    if (job->record.priority <= priority) continue;
    if (job->record.spec.steps[key.first.step].gang) continue;
    const Task* task = FindTask(key.first);
    const Run* run = FindRun(key, vm.listing.id);
    if (!task || !run || !MayBePreempted(*job, *task, *run)) continue;
    const bool past_use =
        job->late_rank > 0 && job->lateness == Lateness::kPastUse;
    candidates.push_back({key, charged_run.charge, now - run->created_at,
                          !task->checkpoint.empty(), past_use});
  }
  return candidates;
}

bool Scheduler::Preempt(const Job& job, const TaskRef& ref,
                        const std::vector<Vm*>& vms, Millis now,
                        std::vector<RunCommand>& commands) {
  if (!settings_.preempt || job.record.priority != 0) return false;
  if (preemptions_.contains(ref)) return true;
  // The stops of a plan are decided at the interval of checks.
  if (now != last_check_at_) return false;
  const StepSpec& spec = job.record.spec.steps[ref.step];
  std::vector<PreemptionPolicy::Option> options;
  for (const Vm* vm : vms) {
    if (!placer_.LacksOnlyCapacity(*vm, spec, job.record.service, ref, now))
      continue;
    auto candidates = PreemptionCandidates(*vm, job.record.priority, now);
    if (candidates.empty()) continue;
    options.push_back({vm->listing.id, vm->Free(), std::move(candidates)});
  }
  const auto choice = preemption_policy_.Choose(spec.Charge(), options, now);
  if (!choice) return false;
  for (const RunKey& key : choice->runs) {
    IssueStop(key.first, *FindRun(key, choice->vm), now, commands);
    FindTask(key.first)->preempted = true;
    preemption_policy_.OnStop(now);
  }
  Vm& vm = *FindVm(choice->vm);
  vm.reservation =
      Reservation{ref, spec.Charge(), now + settings_.reservation_duration,
                  /*exclusive=*/true};
  preemptions_[ref] = {ref, choice->vm, choice->runs, vm.Free(),
                       now - vm.reported_at};
  return true;
}

bool Scheduler::KeepsPreemption(const Preemption& preemption, Millis now) {
  const Job* job = FindJob(preemption.task.job);
  const Task* task = FindTask(preemption.task);
  if (!job || !task || IsFinal(job->record.status)) return false;
  if (!NeedsRun(*task, now)) return false;
  const Vm* vm = FindVm(preemption.vm);
  // The task may find a place elsewhere.
  if (!vm || !vm->reachable || !vm->listed || vm->listing.draining)
    return false;
  if (closures_.IsClosed(vm->listing.data_center)) return false;
  if (!vm->reservation || vm->reservation->task != preemption.task)
    return false;
  const auto is_left = [&](const RunKey& key) {
    return vm->Runs().contains(key);
  };
  const bool stopping = std::any_of(preemption.victims.begin(),
                                    preemption.victims.end(), is_left);
  return stopping || now < vm->reservation->until;
}

void Scheduler::UpdatePreemptions(Millis now) {
  for (auto it = preemptions_.begin(); it != preemptions_.end();) {
    const Preemption& preemption = it->second;
    Vm* vm = FindVm(preemption.vm);
    const bool reserved =
        vm && vm->reservation && vm->reservation->task == preemption.task;
    if (!KeepsPreemption(preemption, now)) {
      if (reserved) vm->reservation.reset();
      it = preemptions_.erase(it);
      continue;
    }
    // The place is kept until the stops are known, and then until the next
    // plan has started the task.
    const bool stopping = std::any_of(
        preemption.victims.begin(), preemption.victims.end(),
        [&](const RunKey& key) { return vm->Runs().contains(key); });
    if (stopping) vm->reservation->until = now + settings_.reservation_duration;
    ++it;
  }
}

}  // namespace basilspur::jobs
