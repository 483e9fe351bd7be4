#ifndef BASILSPUR_JOBS_VM_WORKER_H_
#define BASILSPUR_JOBS_VM_WORKER_H_

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "jobs/reservation.h"

namespace basilspur::jobs {

/// What the owner keeps of one lifetime of a VM's worker. A worker that starts
/// again under the VM's id may be of another kind and knows nothing of before,
/// so all of this is replaced as a whole; see Vm::ReplaceWorker.
///
/// What is kept beside it belongs to the VM's id: its directory entry, which
/// names the worker that it is of, whether it answers, its place in the
/// journal, and the bounds of leases in owner records. Runs are released with
/// their worker, unless the new one executes them or may start them yet.
///
/// Thread safety: same as Vm.
struct VmWorker {
  /// When the worker that sent the last report started, in Unix ms; 0: unknown.
  std::int64_t worker_start_ms = 0;
  /// First report of the worker to this owner; 0: none yet.
  Millis known_since;
  // Numbers of this worker's newest run ends.
  std::int64_t last_end = 0;     ///< Processed.
  std::int64_t durable_end = 0;  ///< In the journal.
  /// The lease has expired or the VM has restarted, so all its runs have been
  /// released. Reset by the VM's next report.
  bool lease_expired = false;
  /// Ends that the VM has not listed yet may be from before its lease expired.
  bool may_list_void_ends = false;
  int consecutive_failures = 0;
  Millis quarantined_until;
  Millis last_start_at;  ///< When a run was last started.
  /// Calls that were meant for a former worker may have given this one a lease
  /// that is longer than the owner's. It has expired by this time; 0: there is
  /// no such lease, or the owner's lasts as long.
  Millis long_lease_until;
  /// The worker has answered a call with the fencing token of its generation:
  /// it rejects calls that were meant for a former worker.
  bool is_fenced = true;
  /// Number of the journal batch that records such a lease for successors. No
  /// run is started before it is durable; 0: it is, or there is none.
  std::int64_t long_lease_batch = 0;
  std::optional<Reservation> reservation;
  Millis pace_changed_at;    ///< Time of the last pace change of any run.
  Millis tails_observed_at;  ///< Time of the last tail latency observation.
};

/// The owner's estimate of a worker's clock, on which its lease ends.
struct WorkerClock {
  bool known = false;
  std::int64_t time_ms = 0;
  Millis read_at;  ///< When the clock showed `time_ms`, on the owner's clock.
  /// Latest deadline that the worker may have been given; 0: none.
  std::int64_t max_deadline_ms = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_WORKER_H_
