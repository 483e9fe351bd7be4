#include <algorithm>
#include <set>

#include "jobs/reported_runs.h"
#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::ReleaseRun(Vm& vm, const TaskRef& ref, int number) {
  vm.Remove({ref, number});
  orphaned_runs_.erase({vm.listing.id, {ref, number}});
  Job* job = FindJob(ref.job);
  Task* task = job ? job->Find(ref) : nullptr;
  if (!task) return;
  std::erase_if(task->runs, [&](const Run& run) {
    return run.number == number && run.vm == vm.listing.id;
  });
  job->NoteChange(ref);
}

Millis Scheduler::StoppedBy(const Run& run) const {
  return run.confirmed_at + settings_.max_stop_duration + settings_.stop_margin;
}

Millis Scheduler::GoneBy(const Run& run) const {
  // A VM lists a run that it executes, and its end afterwards. Without either,
  // only a start that never took effect counts as over soon.
  const bool was_executed = run.running_since > Millis(0);
  return was_executed ? StoppedBy(run) + settings_.lease_duration
                      : StoppedBy(run);
}

bool Scheduler::UpdateAbsentRun(Run& run, Millis sent) const {
  // A run that is being stopped is reported neither as running nor as ended
  // until it has stopped.
  if (run.stop_confirmed) return sent > StoppedBy(run);
  if (run.phase == RunPhase::kInDoubt && run.last_command_at == Millis(0)) {
    // A run of an earlier owner: it has ended or is being stopped.
    run.phase = RunPhase::kStopping;
    run.last_command_at = run.confirmed_at = sent;
    run.stop_confirmed = true;
    return false;
  }
  if (run.phase != RunPhase::kRunning || run.confirmed_at >= sent) return false;
  if (!run.absent) run.confirmed_at = sent;
  run.absent = true;
  return sent > GoneBy(run);
}

bool Scheduler::UpdateAbsentOrphan(RunOnVm& run, Millis sent) const {
  if (run.absent_since == Millis(0)) run.absent_since = sent;
  return sent >
         run.absent_since + settings_.max_stop_duration + settings_.stop_margin;
}

void Scheduler::ReleaseAbsentRuns(Vm& vm, const VmReport& report, Millis sent,
                                  Millis now) {
  std::set<RunKey> running;
  AddRunKeys(report.running, running);
  std::vector<RunKey> absent;
  for (const auto& [key, charge] : vm.Runs()) {
    if (running.contains(key)) continue;
    Run* run = FindRun(key, vm.listing.id);
    const bool ended = run ? UpdateAbsentRun(*run, sent)
                           : UpdateAbsentOrphan(*vm.FindRun(key), sent);
    if (ended) absent.push_back(key);
  }
  for (const RunKey& key : absent) {
    NoteRun(RunEventKind::kReleasedAsAbsent, vm, key, now);
    NoteStartOfReleasedRun(vm, key, /*vm_has_answered=*/true);
    ReleaseRun(vm, key.first, key.second);
    Job* job = FindJob(key.first.job);
    if (job) MarkTaskDirty(*job, key.first);
  }
}

}  // namespace basilspur::jobs
