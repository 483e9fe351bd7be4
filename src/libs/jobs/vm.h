#ifndef BASILSPUR_JOBS_VM_H_
#define BASILSPUR_JOBS_VM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "jobs/step_spec.h"
#include "jobs/task_ref.h"
#include "jobs/vm_listing.h"
#include "jobs/vm_report.h"

namespace basilspur::jobs {

/// A run that counts against a VM's room.
struct RunOnVm {
  records::Resources charge;
  std::int64_t best_effort_cpu = 0;
  std::int64_t tail_target_ms = 0;
  std::string image = {};
  bool long_running = false;
  std::int64_t figure = 0;  ///< As in RunningRow.
  bool confirmed = false;   ///< The VM has said that it is there.
  int pace = 100;           ///< Decided for a best-effort run, percent.
  int ordered_pace = 100;   ///< As in the last order.
  Millis paced_at = {};     ///< When the pace was last changed.
  Millis over_since = {};   ///< Since when the tail is over its target.
};

/// What a run of a step counts as.
RunOnVm MakeRunOnVm(const StepSpec& spec);

/// Room that is kept on a VM for a long-running task.
struct Reservation {
  TaskRef task;
  records::Resources need;
  Millis until;
  /// The task was stopped elsewhere for this place. Else other long-running
  /// tasks that fit already go first.
  bool exclusive = false;
};

using RunKey = std::pair<TaskRef, int>;

/// How far a tail is from its target, as a line over added best-effort work.
struct TailLine {
  double now = 0;            ///< Share of the target, with what runs.
  double per_millicore = 0;  ///< Added by each thousandth of a core.
};

/// What the owner knows of one lifetime of a VM: its room, what counts against
/// it, and when the last lease that it may hold has surely run out.
///
/// Thread safety: as its scheduler.
class Vm {
 public:
  /// A VM that an earlier owner may still have leased until `lapse`.
  Vm(VmListing listing, Millis lapse);

  /// The deadline on the VM's clock for a lease that begins now.
  /// Empty before the first report.
  std::optional<std::int64_t> DeadlineFor(Millis lease, Millis now) const;
  /// No lease of an earlier owner ends later than this.
  void BoundInheritedLease(Millis lapse);
  /// Notes that an order or renewal with this deadline is on its way.
  void NoteDeadline(std::int64_t deadline_ms);
  /// Notes the VM's clock in an answer to a call of `sent`, which came at
  /// `now`. Returns true if a lease ran out before that call arrived.
  bool NoteClock(std::int64_t clock_ms, Millis sent, Millis now);
  /// From then on no run of an earlier lease can be at work.
  Millis LapseAt() const;
  bool HasLapsed(Millis now) const { return now > LapseAt(); }

  void Add(const RunKey& key, const RunOnVm& run);
  void Remove(const RunKey& key);
  void Clear();

  records::Resources Free() const { return listing.room - used_; }
  std::int64_t BestEffortCpu() const { return best_effort_cpu_; }
  int Serving() const { return serving_; }
  std::int64_t ServingCpu() const { return serving_cpu_; }
  const std::map<RunKey, RunOnVm>& Runs() const { return runs_; }
  /// Null if no room is kept for another task than `task`.
  const Reservation* ReservationOfOther(const TaskRef& task, Millis now) const;
  /// The room that is left once all but long-running tasks have ended.
  records::Resources RoomBesideLongRunning() const;
  /// Null if the run is not there.
  RunOnVm* FindRun(const RunKey& key);

  VmListing listing;
  bool listed = true;
  bool reachable = false;
  Millis silent_since;  ///< While it is not reachable.
  /// A record that may be the newest says how long its lease holds at most, so
  /// the lease must not be extended.
  bool told_silent = false;
  bool recorded = false;         ///< The journal names it, or is about to.
  bool settled = false;          ///< Has answered this owner, or has lapsed.
  bool lapsed = false;           ///< Its runs were given up.
  std::int64_t last_end = 0;     ///< The newest end that was taken in.
  std::int64_t durable_end = 0;  ///< The newest that the journal covers.
  int failures_in_row = 0;
  Millis quarantined_until;
  std::optional<Reservation> reservation;
  Millis paced_at;     ///< When a pace was last ordered.
  Millis observed_at;  ///< When its tails were last learned from.
  /// By best-effort image; emptied whenever what runs changes.
  mutable std::map<std::string, std::vector<TailLine>> tail_lines;

 private:
  records::Resources used_;
  std::int64_t best_effort_cpu_ = 0;
  int serving_ = 0;
  std::int64_t serving_cpu_ = 0;
  std::map<RunKey, RunOnVm> runs_;
  bool clock_known_ = false;
  std::int64_t clock_ms_ = 0;
  Millis clock_at_;
  std::int64_t max_deadline_ms_ = 0;
  Millis inherited_lapse_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_VM_H_
