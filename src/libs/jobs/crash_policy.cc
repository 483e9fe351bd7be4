#include "jobs/crash_policy.h"

namespace basilspur::jobs {

/// Whether the VM was lost because its worker ended unexpectedly.
static bool IsCrash(const VmLoss& loss) {
  if (loss.was_draining) return false;
  if (loss.cause == VmLossCause::kRestarted)
    return loss.outage != VmOutage::kSilent;
  return loss.outage == VmOutage::kDisconnected;
}

std::vector<CrashSuspect> CrashPolicy::SelectSuspects(
    const VmLoss& loss) const {
  std::vector<CrashSuspect> suspects;
  const bool is_crash = IsCrash(loss);
  for (const LostRun& run : loss.runs) {
    const bool had_begun = is_crash && run.age && !IsCleared(*run.age);
    if (had_begun || run.may_have_crashed_vm)
      suspects.push_back({run.task, run.crashes + 1});
  }
  return suspects;
}

}  // namespace basilspur::jobs
