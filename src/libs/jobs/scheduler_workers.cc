#include <algorithm>

#include "jobs/reported_runs.h"
#include "jobs/scheduler.h"

namespace basilspur::jobs {

bool Scheduler::AcceptWorker(Vm& vm, const VmReport& report, Millis sent,
                             Millis now) {
  const bool differs = report.worker_start_ms != vm.worker_start_ms;
  const bool known = vm.worker_start_ms > 0 && report.worker_start_ms > 0;
  // The start is a time of day, which may jump back. So not the smaller one is
  // out of date, but the one that was asked for before the other arrived.
  if (differs && known && sent < vm.reported_at) return false;
  const bool unnamed = differs && report.worker_start_ms == 0;
  const bool is_other =
      known ? differs : unnamed && vm.IsClockOfOther(report.clock_ms, sent);
  if (is_other) ReplaceWorker(vm, report, sent, now);
  if (report.worker_start_ms > 0) vm.SetWorkerStart(report.worker_start_ms);
  return true;
}

std::set<RunKey> Scheduler::RunsOfNewWorker(const Vm& vm,
                                            const VmReport& report,
                                            Millis sent) {
  std::set<RunKey> listed;
  AddRunKeys(report.running, listed);
  AddRunKeys(report.ended, listed);
  std::set<RunKey> kept;
  for (const auto& [key, charged_run] : vm.Runs()) {
    if (listed.contains(key)) {
      kept.insert(key);
      continue;
    }
    Run* run = FindRun(key, vm.listing.id);
    // Starts of earlier owners are rejected: the report answers a renewal with
    // this owner's token.
    if (!run || run->starts_sent == 0) continue;
    const bool unanswered = run->phase == RunPhase::kStarting ||
                            run->phase == RunPhase::kInDoubt ||
                            run->had_unanswered_start;
    const bool later =
        run->last_command_at >= sent || run->confirmed_at >= sent;
    if (!unanswered && !later) continue;
    kept.insert(key);
    if (later) continue;
    // The start may reach the new worker yet. Once that has stopped the run, it
    // rejects the start.
    run->phase = RunPhase::kStopping;
    run->stop_confirmed = false;
    run->last_command_at = sent - settings_.stop_retry_interval;
  }
  return kept;
}

void Scheduler::ReplaceWorker(Vm& vm, const VmReport& report, Millis sent,
                              Millis now) {
  LoseRuns(vm, VmLossCause::kRestarted, now, RunsOfNewWorker(vm, report, sent));
  vm.ReplaceWorker(report.worker_start_ms, report.clock_ms,
                   settings_.max_vm_lease, now);
  vm.worker_generation = ++worker_generations_;
  const std::string& id = vm.listing.id;
  held_ends_.RemoveAllOf(id);
  dirty_vms_[id] = 0;
  ExpectLongLease(vm, now);
}

}  // namespace basilspur::jobs
