#ifndef BASILSPUR_JOBS_VM_LOSS_H_
#define BASILSPUR_JOBS_VM_LOSS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// How a VM became unreachable.
enum class VmOutage {
  kDisconnected,  ///< It closed or refused a connection: its worker has ended.
  kSilent,        ///< Nothing came back: no power, or no path to it.
};

/// By what the owner knows that no run of a VM's incarnation is left.
enum class VmLossCause {
  kRestarted,     ///< Another incarnation has answered.
  kLeaseExpired,  ///< The last lease that the VM may hold has expired.
};

/// A run that ended with its VM, without a report.
struct LostRun {
  TaskRef task;
  int run = 0;
  /// Time from the confirmation of the start to the outage; 0: the start was
  /// not confirmed. Empty for a run of an earlier owner, and for one that has
  /// not begun, since the VM had restarted before its start was sent.
  std::optional<Millis> age;
  int crashes = 0;  ///< VMs that runs of the task may have crashed before.
  /// When the VM closed its connection, the run was found to be one that may
  /// have crashed it.
  bool may_have_crashed_vm = false;
};

/// A task whose run may have crashed a VM.
struct CrashSuspect {
  TaskRef task;
  int crashes = 0;  ///< VMs that runs of the task may have crashed.
};

/// The loss of an incarnation of a VM, with the runs that were on it.
///
/// Thread safety: a plain value.
struct VmLoss {
  std::string vm;
  VmLossCause cause = VmLossCause::kRestarted;
  /// Empty: the VM was reachable until it answered as another incarnation.
  std::optional<VmOutage> outage;
  bool was_draining = false;
  std::vector<LostRun> runs;
  std::vector<CrashSuspect> suspects;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_LOSS_H_
