#ifndef BASILSPUR_JOBS_VM_H_
#define BASILSPUR_JOBS_VM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/known_worker.h"
#include "jobs/planned_start.h"
#include "jobs/reservation.h"
#include "jobs/step_spec.h"
#include "jobs/task_ref.h"
#include "jobs/vm_listing.h"
#include "jobs/vm_loss.h"
#include "jobs/vm_report.h"
#include "jobs/vm_worker.h"

namespace basilspur::jobs {

/// A run whose resources are charged to a VM.
struct RunOnVm {
  records::Resources charge;  ///< Resources charged to the VM's capacity.
  /// The run belongs to no task, so it is not known what it needs.
  bool needs_unknown = false;
  /// Processor time needed by a best-effort run; 0 for other runs.
  std::int64_t best_effort_cpu_millis = 0;
  std::int64_t tail_target_ms = 0;  ///< Tail latency target; 0: none.
  std::string image = {};
  bool long_running = false;
  Millis started_at = {};        ///< 0: a run that an earlier owner started.
  bool relief = false;           ///< See Placement::relief.
  std::int64_t measurement = 0;  ///< See RunningRunReport.
  /// The VM has confirmed the start or reported the run.
  bool confirmed = false;
  /// For a run that belongs to no task: when the first report without it was
  /// requested; 0: the last report lists it.
  Millis absent_since = {};
  /// Pace decided for a best-effort run, as a percentage of its full speed.
  int pace_percent = 100;
  int commanded_pace_percent = 100;  ///< Pace in the last command to the VM.
  Millis pace_changed_at = {};       ///< 0: the pace has not been changed.
  /// Since when the tail latency has exceeded its target; 0: it does not.
  Millis over_target_since = {};
};

/// Returns the resources and properties with which a run of a step is charged.
RunOnVm MakeRunOnVm(const StepSpec& spec);

/// A task and the number of its run.
using RunKey = std::pair<TaskRef, int>;

/// A run that may crash its VM, so that the VM gets no other runs for a while.
struct Isolation {
  RunKey run;
  Millis until;
};

/// Predicted tail latency of an image as a share of its target. It is linear in
/// the processor time of an additional best-effort run.
struct TailPrediction {
  double current_target_share = 0;  ///< With the runs now on the VM.
  /// Increase for each thousandth of a core of the additional run.
  double target_share_per_millicore = 0;
};

/// The owner's state of one incarnation of a VM: its capacity, the runs charged
/// to it, and an upper bound for the expiry of the last lease that it may hold.
/// Runs with a tail latency target are called serving runs.
///
/// Thread safety: same as Scheduler.
class Vm : public VmWorker {
 public:
  /// A VM on which no earlier owner can have runs.
  explicit Vm(VmListing listing);

  /// Returns the deadline, on the VM's clock, of a lease that begins now, if
  /// that clock is as slow as it may be; a little earlier otherwise. Empty
  /// before the first report.
  std::optional<std::int64_t> LeaseDeadline(Millis lease, Millis now) const;
  /// Earlier owners may have started runs on the VM, and leased it until
  /// `lease_expiry`.
  void Inherit(Millis lease_expiry);
  /// Sets an upper bound for the expiry of leases of earlier owners, unless an
  /// earlier bound is already known.
  void BoundInheritedLease(Millis lease_expiry);
  /// Calls that were meant for a former worker may have leased the present one
  /// until `lease_expiry`.
  void InheritLongLease(Millis lease_expiry) {
    long_lease_until = lease_expiry;
  }
  /// The lease of an earlier owner expires by then, and it was known which
  /// worker holds it.
  void BoundLongLease(Millis lease_expiry);
  /// Call with the first report to this owner: a lease that calls for a former
  /// worker have given counts as given by this owner.
  void TakeOverLongLease(Millis now);
  /// Returns how long a lease of this length on the VM's clock may last.
  static Millis MaxDurationOf(Millis lease);
  /// Records that a command or renewal with this deadline is being sent.
  void RecordLeaseDeadline(std::int64_t deadline_ms);
  /// Updates the estimate of the VM's clock from an answer that was received at
  /// `now` to a call sent at `sent`. Returns true if the lease had expired
  /// before the call reached the VM.
  bool UpdateClock(std::int64_t clock_ms, Millis sent, Millis now);
  KnownWorker Worker() const { return {worker_start_ms, clock_.time_ms}; }
  /// Whether the answer to a call that was sent at `sent` is of another worker:
  /// a worker's clock never goes back.
  bool IsClockOfOther(std::int64_t clock_ms, Millis sent) const {
    return clock_.known && sent >= clock_.read_at && clock_ms < clock_.time_ms;
  }
  /// Returns the time, on the owner's clock, after which no run can still be
  /// executing under a lease granted so far.
  Millis LatestLeaseExpiry() const;
  bool HasLeaseExpired(Millis now) const { return now > LatestLeaseExpiry(); }

  /// Sets the listing of the VM's directory entry.
  void SetListing(const VmListing& entry, Millis now);
  /// Whether the answer to a call that was sent at `sent` may be of the
  /// present: the call went to the VM's present address, and no report has
  /// arrived since.
  bool IsPresentCall(Millis sent) const;
  /// Whether another process at the VM's address shows that the VM has ended.
  /// An address that only an earlier owner knew may be one that the VM had
  /// before, and another VM has now.
  bool IsKnownAtAddress() const { return listed || answered_at_address; }
  /// The directory has an entry of the VM, or has none any more.
  void SetListed(bool has_entry);
  /// Sets the start of the present worker.
  void SetWorkerStart(std::int64_t start_ms);
  /// The VM has another worker, whose clock starts anew. Replaces all that was
  /// kept of the former one but its runs. Calls that were meant for that may
  /// have given the new one a lease of up to `max_lease`.
  void ReplaceWorker(std::int64_t start_ms, std::int64_t clock_ms,
                     Millis max_lease, Millis now);
  bool HasDirectoryEntry() const { return has_entry_; }

  /// Whether no call for a former worker reaches the present one, and a
  /// successor would know all that it has to know of the VM before runs are
  /// started there.
  bool IsRecorded() const {
    return in_journal && is_fenced && long_lease_batch == 0;
  }
  /// The present worker has answered a call with its generation's token. Calls
  /// that were meant for former ones may have leased it by `max_lease` until
  /// then, and no longer.
  void OnFenced(Millis max_lease);

  void Add(const RunKey& key, const RunOnVm& run);
  void Remove(const RunKey& key);

  /// Capacity that is not charged to any run; none while a run whose needs are
  /// unknown may be executing.
  records::Resources Free() const;
  /// Whether the runs are charged more than the VM has: it has shrunk.
  bool IsOverCommitted() const { return !used_.FitsIn(listing.capacity); }
  std::int64_t BestEffortCpuMillis() const { return best_effort_cpu_millis_; }
  /// Number of runs with a tail latency target.
  int ServingRunCount() const { return serving_run_count_; }
  /// Processor time charged for the runs with a tail latency target.
  std::int64_t ServingCpuMillis() const { return serving_cpu_millis_; }
  const std::map<RunKey, RunOnVm>& Runs() const { return runs_; }
  bool IsIsolated(Millis now) const {
    return isolation && now < isolation->until;
  }
  /// Returns the reservation for a task other than `task`, or null.
  const Reservation* ReservationOfOther(const TaskRef& task, Millis now) const;
  /// Returns the capacity that is free once only long-running tasks are left.
  records::Resources CapacityBesideLongRunning() const;
  /// Whether one of the runs is a relief run.
  bool HasReliefRun() const;
  /// Number of the runs that are of the task's step and occurrence.
  int CountRunsOfStep(const TaskRef& task) const;
  /// Returns null if the run is not charged to this VM.
  RunOnVm* FindRun(const RunKey& key);

  VmListing listing;
  /// The VM is in the platform's directory, and its entry is of the present
  /// worker, as far as both name one. Another one's labels and room say nothing
  /// of what this one can run.
  bool listed = true;
  bool reachable = false;  ///< The VM answered the last renewal.
  Millis reported_at;      ///< When the last report arrived.
  /// When the renewal was sent that the last report answers.
  Millis answered_call_sent_at;
  /// When the VM's listing last got another address; 0: never.
  Millis address_changed_at;
  /// The VM has answered this owner at its present address.
  bool answered_at_address = false;
  Millis unreachable_since;  ///< Valid only while the VM is unreachable.
  /// How the present outage began; empty: no call has failed since the last
  /// answer.
  std::optional<VmOutage> outage;
  /// Rises with each worker of the VM that this owner has seen.
  std::int64_t worker_generation = 0;
  /// A record that is or may become the newest one states an upper bound for
  /// the expiry of the VM's lease, so the lease must not be extended.
  bool lease_bound_recorded = false;
  /// The journal lists the VM, so a successor will wait until the VM has
  /// answered or its lease has expired. No run is started on the VM before.
  bool in_journal = false;
  /// Number of this owner's first journal batch that lists the VM; 0: none.
  std::int64_t journal_batch = 0;
  /// The journal listed the VM when this owner took over, so earlier owners may
  /// have runs there that are in no record.
  bool inherited = false;
  /// The journal that was taken over lists the VM, and it has not answered this
  /// owner yet.
  bool restored = false;
  /// All runs of earlier owners are known: the VM is not inherited, it has
  /// answered this owner, or its lease has expired.
  bool reconciled = true;
  std::optional<PlannedStart> planned_start;  ///< See BackfillPolicy.
  std::optional<Isolation> isolation;         ///< Ends with its run.
  /// Cached predictions by best-effort image. Cleared whenever the runs or
  /// their paces change or tail latencies are observed.
  mutable std::map<std::string, std::vector<TailPrediction>> tail_predictions;

 private:
  void UpdateListed();

  records::Resources used_;
  std::int64_t best_effort_cpu_millis_ = 0;
  int serving_run_count_ = 0;
  std::int64_t serving_cpu_millis_ = 0;
  int unknown_run_count_ = 0;  ///< Runs whose needs are unknown.
  /// By job, occurrence and step. A step may have thousands of tasks.
  std::map<std::tuple<std::string, int, int>, int, std::less<>> runs_by_step_;
  std::map<RunKey, RunOnVm> runs_;
  bool has_entry_ = true;
  WorkerClock clock_;
  Millis inherited_lease_expiry_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_H_
