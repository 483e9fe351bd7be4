#ifndef BASILSPUR_JOBS_AWAITED_VM_H_
#define BASILSPUR_JOBS_AWAITED_VM_H_

#include <optional>
#include <string>

#include "base/clock.h"

namespace basilspur::jobs {

/// What the owner waits for before the runs of a VM are confirmed or released.
enum class VmWait {
  kLease,         ///< The VM does not answer, and its lease may last yet.
  kConfirmation,  ///< The lease is over, as far as this owner knows, and the
                  ///< ownership was not confirmed since.
  kReport,        ///< The VM answers, or was never asked.
};

/// Returns the name of what is awaited, for the log.
const char* NameOf(VmWait wait);

/// A VM that has runs, or may have runs of earlier owners, and has not reported
/// for a while.
///
/// Thread safety: a plain value.
struct AwaitedVm {
  std::string vm;
  VmWait wait = VmWait::kReport;
  int runs = 0;
  int long_running_runs = 0;
  /// Age of its last report to this owner; empty: there was none.
  std::optional<Millis> report_age;
  /// Until the last lease that it may hold expires.
  Millis lease_left;
  /// Starts of earlier owners' jobs wait for this VM.
  bool holds_starts = false;

  /// Returns "VM:wait=NAME:runs=N:long_running=N:report_age_ms=N:lease_ms=N:
  /// holds_starts=N"; a missing age is -1.
  std::string ToString() const;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_AWAITED_VM_H_
