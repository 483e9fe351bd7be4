#ifndef BASILSPUR_STATE_CLUSTER_STATE_H_
#define BASILSPUR_STATE_CLUSTER_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "records/record.h"
#include "state/apply_result.h"
#include "state/catalog.h"
#include "state/job.h"
#include "state/member.h"
#include "state/vm.h"
#include "state/waiting_order.h"

namespace basilspur::state {

/// A job ends as failed once it has failed on this number of VMs that finished
/// other jobs afterwards.
inline constexpr std::size_t kMaxFailedHealthyVms = 3;
/// A job ends as failed after this number of failures, on whichever VMs.
inline constexpr std::int64_t kMaxFailures = 30;
/// A VM is quarantined once this number of jobs have failed on it and then
/// finished on another VM.
inline constexpr std::size_t kFailedJobsToQuarantine = 2;
/// Maximum of ended jobs that are kept. As long as a job is kept, a new job
/// with its id is rejected as a duplicate.
inline constexpr std::size_t kMaxEndedJobs = 120'000;
/// Maximum of audit entries that are kept.
inline constexpr std::size_t kMaxAuditEntries = 5'000;

/// The state of a cell: a deterministic function of the cell's record stream.
/// Each record is validated against the state at its position in the stream, so
/// every process accepts or rejects the same records and no leader is needed.
///
/// Thread safety: one thread at a time; const methods may run concurrently.
class ClusterState {
 public:
  using Members = std::map<std::string, Member>;
  using Vms = std::map<std::string, Vm>;
  using Jobs = std::map<std::string, Job>;
  using Services = std::map<std::string, Service>;
  using Teams = std::map<std::string, Team>;
  using Config = std::map<std::string, ConfigValue>;

  /// Validates one record and applies it if it is accepted.
  /// Precondition: records are passed in stream order.
  ApplyResult Apply(const records::Record& record);

  /// Sets the offset up to which all records have been applied. Precondition:
  /// `offset` is not lower than Offset().
  void SetOffset(std::int64_t offset) { offset_ = offset; }
  /// The offset up to which records have been applied; -1 before the first.
  std::int64_t Offset() const { return offset_; }

  /// Returns true if this incarnation has joined and is not known to have
  /// ended.
  bool IsLive(const records::EntryRef& entry) const;

  const Members& MemberTable() const { return members_; }
  const Vms& VmTable() const { return vms_; }
  const Jobs& JobTable() const { return jobs_; }
  const Services& ServiceTable() const { return services_; }
  const Teams& TeamTable() const { return teams_; }
  const Config& ConfigTable() const { return config_; }
  const std::deque<AuditEntry>& Audit() const { return audit_; }
  const std::set<WaitingOrder>& Waiting() const { return waiting_; }

  /// Increases with every accepted change of services, configuration, VMs or
  /// members. Compare it to check cheaply whether routes must be rebuilt.
  std::int64_t RoutingRevision() const { return routing_revision_; }

  /// The reason why a waiting job can't be placed on any VM now; empty if it
  /// can.
  std::string WaitingReason(const Job& job) const;

  /// The reason why a job can't be placed on a VM now, apart from the quota of
  /// its team; empty if it can.
  std::string PlacementObstacle(const Job& job, const Vm& vm) const;

  /// Returns true if the resources fit in the remaining quota of the team. A
  /// team that does not exist has no quota.
  bool WithinQuota(std::string_view team,
                   const records::Resources& resources) const;

  /// The offset of the newest announced snapshot; -1 if there is none.
  std::int64_t SnapshotOffset() const { return snapshot_offset_; }
  /// The wall clock of that snapshot's writer when it announced the snapshot.
  std::int64_t SnapshotWallMillis() const { return snapshot_wall_ms_; }

  /// Encodes the complete state for a snapshot.
  std::string Serialize() const;

  /// Checks that the charges of every VM and team equal the sum of their runs
  /// (and, for a VM, targets), that no VM is charged beyond its capacity, and
  /// that every running job is listed at its VM. Returns the first violation,
  /// or an empty text. For tests.
  std::string CheckInvariants() const;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.offset_, self.revision_, self.accepted_jobs_, self.members_,
            self.vms_, self.jobs_, self.services_, self.teams_, self.config_,
            self.audit_, self.ended_, self.snapshot_offset_,
            self.snapshot_wall_ms_);
  }

  /// Rebuilds the data derived from the fields in Describe(). Must be called
  /// after decoding.
  void RebuildIndexes();

 private:
  ApplyResult DispatchBody(const records::Record& record);
  ApplyResult ApplyJoin(const records::Record& record,
                        const records::EntryJoined& body);

  ApplyResult ApplyBody(const records::Record& record,
                        const records::EntryJoined& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::EntryEnded& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmListed& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmUnlisted& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmDrained& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmClaimed& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmReleased& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::ServicePut& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::ServiceDeleted& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::TeamPut& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::ConfigPut& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::JobAccepted& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::JobsCancelled& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::RunPlaced& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::RunEvicted& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::RunCheckpointed& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::RunEnded& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmReachability& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::SnapshotTaken& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::RunUsage& body);
  ApplyResult ApplyBody(const records::Record& record,
                        const records::VmStandby& body);

  void RemoveRenewer(const records::EntryRef& entry);
  void ChargeTargets(const records::ServiceSpec& spec, int sign);
  ApplyResult CheckTargetCapacity(const records::ServiceSpec& spec) const;
  /// Returns the job whose current run is `run`. If there is none, returns null
  /// and stores the reason in `result`.
  Job* CurrentJob(const records::RunRef& run, ApplyResult* result);
  /// As CurrentJob(), but also requires that `writer` owns the VM of the run.
  Job* CurrentJobOfOwner(const records::EntryRef& writer,
                         const records::RunRef& run, ApplyResult* result);
  /// Adds `amount` to the charge of the job's current run, and to the used
  /// resources of its VM and team.
  void Charge(Job& job, const records::Resources& amount);
  void ReleaseRun(Job& job);
  void EndJob(Job& job, JobPhase phase, std::string detail);
  void ReturnToWaiting(Job& job, std::string detail);
  void EndFinishedRun(Job& job);
  void EndFailedRun(Job& job, const std::string& detail);
  /// Counts the failures of a finished job against the other VMs where it
  /// failed, and quarantines those that reach the limit.
  void AttributeFailuresToVms(const Job& finished);
  /// Counts the failures on a VM that has just finished a job against the other
  /// jobs that failed there, and ends those that reach the limit as failed.
  void AttributeFailuresToJobs(Vm& healthy, const std::string& finished_job);
  void FailJobAtHealthyVmLimit(Job& job);
  void AddAuditEntry(const records::Record& record, const ApplyResult& result);
  WaitingOrder WaitingOrderOf(const Job& job) const;

  std::int64_t offset_ = -1;
  std::int64_t revision_ = 0;
  std::int64_t accepted_jobs_ = 0;
  std::int64_t routing_revision_ = 0;
  std::int64_t snapshot_offset_ = -1;
  std::int64_t snapshot_wall_ms_ = 0;
  Members members_;
  Vms vms_;
  Jobs jobs_;
  Services services_;
  Teams teams_;
  Config config_;
  std::deque<AuditEntry> audit_;
  std::deque<std::string> ended_;
  std::set<WaitingOrder> waiting_;
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_CLUSTER_STATE_H_
