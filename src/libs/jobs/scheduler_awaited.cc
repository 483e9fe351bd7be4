#include <algorithm>

#include "jobs/awaited_vm.h"
#include "jobs/scheduler.h"
#include "jobs/unreported_run.h"

namespace basilspur::jobs {

const char* NameOf(VmWait wait) {
  switch (wait) {
    case VmWait::kLease:
      return "lease";
    case VmWait::kConfirmation:
      return "confirmation";
    case VmWait::kReport:
      return "report";
  }
  return "";
}

const char* NameOf(RunWait wait) {
  switch (wait) {
    case RunWait::kStart:
      return "start";
    case RunWait::kStopSent:
      return "stop_sent";
    case RunWait::kStopDuration:
      return "stop_duration";
    case RunWait::kEnd:
      return "end";
  }
  return "";
}

std::string AwaitedVm::ToString() const {
  const std::int64_t age_ms = report_age ? report_age->count : -1;
  return vm + ":wait=" + NameOf(wait) + ":runs=" + std::to_string(runs) +
         ":long_running=" + std::to_string(long_running_runs) +
         ":report_age_ms=" + std::to_string(age_ms) +
         ":lease_ms=" + std::to_string(lease_left.count) +
         ":holds_starts=" + std::to_string(holds_starts ? 1 : 0);
}

std::string UnreportedRun::ToString() const {
  return task.ToString() + "/" + std::to_string(run) + "@" + vm +
         ":wait=" + NameOf(wait) + ":age_ms=" + std::to_string(age.count);
}

VmWait Scheduler::WaitOf(const Vm& vm, Millis now) const {
  if (vm.reachable || vm.lease_expired) return VmWait::kReport;
  return vm.HasLeaseExpired(now) ? VmWait::kConfirmation : VmWait::kLease;
}

std::vector<AwaitedVm> Scheduler::AwaitedVms(Millis min_age, Millis now) const {
  std::vector<AwaitedVm> awaited;
  for (const auto& [id, vm] : vms_) {
    const bool matters = !vm->Runs().empty() || !vm->reconciled;
    const bool is_recent = vm->known_since > Millis(0) && vm->reachable &&
                           now - vm->reported_at < min_age;
    if (!matters || is_recent) continue;
    AwaitedVm& row = awaited.emplace_back();
    row.vm = id;
    row.wait = WaitOf(*vm, now);
    row.runs = static_cast<int>(vm->Runs().size());
    row.long_running_runs = static_cast<int>(
        std::count_if(vm->Runs().begin(), vm->Runs().end(),
                      [](const auto& run) { return run.second.long_running; }));
    if (vm->reported_at > Millis(0)) row.report_age = now - vm->reported_at;
    row.lease_left = vm->LatestLeaseExpiry() - now;
    row.holds_starts = !vm->reconciled && !journal_complete_;
  }
  return awaited;
}

static RunWait WaitOfRun(const Run& run) {
  if (run.phase == RunPhase::kStopping)
    return run.stop_confirmed ? RunWait::kStopDuration : RunWait::kStopSent;
  return run.phase == RunPhase::kRunning ? RunWait::kEnd : RunWait::kStart;
}

std::vector<UnreportedRun> Scheduler::UnreportedRuns(Millis min_age,
                                                     Millis now) const {
  std::vector<UnreportedRun> unreported;
  for (const auto& [id, job] : jobs_) {
    job->ForEachRun(
        [&, job = job.get()](const TaskRef& ref, const Task&, const Run& run) {
          const bool is_listed = run.phase == RunPhase::kRunning && !run.absent;
          const auto vm = vms_.find(run.vm);
          if (is_listed || vm == vms_.end() || !vm->second->reachable) return;
          const Millis since = std::max(run.confirmed_at, run.created_at);
          if (since == Millis(0) || now - since < min_age) return;
          unreported.push_back({ref, run.number, run.vm, WaitOfRun(run),
                                now - since,
                                job->record.spec.steps[ref.step].long_running});
        });
  }
  std::stable_sort(unreported.begin(), unreported.end(),
                   [](const UnreportedRun& a, const UnreportedRun& b) {
                     return a.long_running > b.long_running;
                   });
  return unreported;
}

}  // namespace basilspur::jobs
