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

/// Decides what one entry sends to one VM's worker and what it records about
/// the runs there. It ends a run only on evidence: the worker's word, or the
/// lapse of the lease once this entry alone could renew it.
///
/// Pure logic: time and answers are arguments. Thread safety: one thread at a
/// time.
class VmSupervisor {
 public:
  explicit VmSupervisor(const LeaseSettings& settings);

  /// The message to send now, if one is due. At most one is in flight; the
  /// caller reports its end with OnSyncDone(). `fresh` is false while the
  /// process was paused and has not read the log since.
  std::optional<infra::SyncRequest> NextSync(const VmView& view, Millis now,
                                             bool fresh);

  /// The message sent last has ended: answered, failed, or given up with its
  /// connection closed, so that it can't reach the worker any more.
  void OnSyncDone(const Result<infra::SyncReply>& reply, Millis now);

  /// The records to append now. The same record may be returned again until
  /// the view shows its effect; replay voids repeats.
  std::vector<records::RecordBody> NextRecords(const VmView& view, Millis now);

  /// The newest reports of the worker; for usage and slowdown.
  const std::map<records::RunRef, infra::RunReport>& Reports() const {
    return reports_;
  }

  /// Why the ends of runs here are not known; empty if the worker answers.
  std::string Obstacle(const VmView& view, Millis now) const;

  /// True once nothing is in flight and the view asks for nothing more.
  bool IsIdle() const { return !in_flight_; }

 private:
  struct RecordedUsage {
    records::Resources usage;
    Millis at;
  };

  /// A standby renews what runs while the owner is silent. Its orders carry no
  /// job, so they start nothing.
  std::optional<infra::SyncRequest> NextStandbySync(const VmView& view,
                                                    Millis now);
  bool IsUnreachable(Millis now) const;
  bool MustKeepQuiet(const VmView& view, Millis now) const;
  bool HasNews(const VmView& view, bool fresh) const;
  infra::SyncRequest MakeSync(const VmView& view, bool fresh);
  void RecordEnds(const VmView& view, Millis now,
                  std::vector<records::RecordBody>& out);
  void RecordUsage(const VmView& view, Millis now,
                   std::vector<records::RecordBody>& out);
  void RecordReachability(const VmView& view, Millis now,
                          std::vector<records::RecordBody>& out);
  void RecordLapses(const VmView& view, Millis now,
                    std::vector<records::RecordBody>& out);
  void ForgetOldReports(const VmView& view);
  bool MayRecord(const records::RunRef& run, Millis now);

  const LeaseSettings settings_;
  bool in_flight_ = false;
  Millis last_sent_;
  Millis last_done_;
  std::optional<Millis> first_failure_;
  std::optional<Millis> quiet_since_;
  std::optional<Millis> sole_since_;
  std::int64_t sole_version_ = 0;
  std::optional<std::int64_t> promised_version_;
  std::map<records::RunRef, infra::RunReport> reports_;
  std::map<records::RunRef, bool> ordered_stop_;
  std::optional<Millis> reachability_recorded_;
  std::map<records::RunRef, Millis> recorded_at_;
  std::map<records::RunRef, RecordedUsage> recorded_usage_;
  std::set<records::RunRef> to_forget_;
  std::set<records::RunRef> forgetting_;
};

}  // namespace basilspur::lease

#endif  // BASILSPUR_LEASE_VM_SUPERVISOR_H_
