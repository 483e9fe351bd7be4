#ifndef BASILSPUR_LEASE_VM_SUPERVISOR_H_
#define BASILSPUR_LEASE_VM_SUPERVISOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "infra/worker_messages.h"
#include "lease/lease_settings.h"
#include "lease/vm_view.h"
#include "records/record.h"

namespace basilspur::lease {

/// Decides what one entry sends to the worker of one VM and what it records
/// about the runs there. The end of a run is recorded only on evidence: a
/// report of the worker, or expiry of the lease, counted from the time since
/// which only this entry could renew it.
///
/// Pure logic: time and replies are arguments. Thread safety: one thread at a
/// time.
class VmSupervisor {
 public:
  explicit VmSupervisor(const LeaseSettings& settings);

  /// The message to send now, if one is due. At most one is in flight; the
  /// caller has to call OnSyncDone() when it completes. `fresh` is false if the
  /// process was paused and has not read the log to its end since.
  std::optional<infra::SyncRequest> NextSync(const VmView& view, Millis now,
                                             bool fresh);

  /// To be called when the last message has completed: it was answered, it
  /// failed, or it was abandoned and its connection closed, so that it can no
  /// longer reach the worker.
  void OnSyncDone(const Result<infra::SyncReply>& reply, Millis now);

  /// The records to append now. The same record may be returned again until
  /// the view shows its effect; on replay the duplicates are void.
  std::vector<records::RecordBody> NextRecords(const VmView& view, Millis now);

  /// The latest report of the worker on each run, with its usage and slowdown.
  const std::map<records::RunRef, infra::RunReport>& Reports() const {
    return reports_;
  }

  /// The reason why the end of the runs on this VM can't be determined; empty
  /// while the worker responds.
  std::string RunEndObstacle(const VmView& view, Millis now) const;

  /// True while no message is in flight.
  bool IsIdle() const { return !in_flight_; }

 private:
  struct RecordedUsage {
    records::Resources usage;
    Millis at;
  };

  /// The renewal that a standby sends for the current runs while the owner is
  /// unreachable. Its commands include no job, so they start no run.
  std::optional<infra::SyncRequest> NextStandbySync(const VmView& view,
                                                    Millis now);
  bool IsUnreachable(Millis now) const;
  bool MustSuspendRenewals(const VmView& view, Millis now) const;
  bool HasUnsentChanges(const VmView& view, bool fresh) const;
  infra::SyncRequest MakeSync(const VmView& view, bool fresh);
  void RecordEndsAndCheckpoints(const VmView& view, Millis now,
                                std::vector<records::RecordBody>& out);
  void RecordUsage(const VmView& view, Millis now,
                   std::vector<records::RecordBody>& out);
  void RecordReachability(const VmView& view, Millis now,
                          std::vector<records::RecordBody>& out);
  void RecordExpiredLeases(const VmView& view, Millis now,
                           std::vector<records::RecordBody>& out);
  /// Discards what is stored about runs that are no longer current, and adds
  /// those with a report to the runs to list in SyncRequest::recorded_ends.
  void DropEndedRuns(const VmView& view);
  /// Returns whether a record about the run may be appended now, and if so
  /// notes the time, so that it is not repeated before the retry interval.
  bool MarkRecordedIfDue(const records::RunRef& run, Millis now);

  const LeaseSettings settings_;
  bool in_flight_ = false;
  Millis last_sent_;
  Millis last_completed_;
  std::optional<Millis> failing_since_;
  std::optional<Millis> renewals_suspended_since_;
  std::optional<Millis> sole_renewer_since_;
  std::int64_t renewers_version_ = 0;
  std::optional<std::int64_t> released_version_;
  std::map<records::RunRef, infra::RunReport> reports_;
  std::map<records::RunRef, bool> sent_stop_requests_;
  std::optional<Millis> reachability_recorded_;
  std::map<records::RunRef, Millis> recorded_at_;
  std::map<records::RunRef, RecordedUsage> recorded_usage_;
  std::set<records::RunRef> recorded_ends_to_send_;
  std::set<records::RunRef> recorded_ends_in_flight_;
};

}  // namespace basilspur::lease

#endif  // BASILSPUR_LEASE_VM_SUPERVISOR_H_
