#ifndef BASILSPUR_CELL_CELL_MEMBER_H_
#define BASILSPUR_CELL_CELL_MEMBER_H_

#include <functional>
#include <memory>
#include <string>

#include "cell/candidate_list.h"
#include "cell/cell_owner.h"
#include "cell/election.h"
#include "cell/follow_policy.h"
#include "cell/owner_outlook.h"
#include "cell/owner_probe.h"
#include "cell/service_watch.h"
#include "cell/store.h"
#include "cell/topic_watcher.h"

namespace basilspur::cell {

/// This node's participation in one cell: knows the cell's owner, campaigns for
/// the cell as one of its candidates, and runs the owner while this node is
/// elected. Only candidates and nodes in doubt follow the owner's records in
/// the store; others probe the owner from time to time.
///
/// Thread safety: only from the thread of its io_context.
class CellMember : public std::enable_shared_from_this<CellMember> {
 public:
  struct Identity {
    std::string node;
    std::string incarnation;
    std::string peer_address;
    std::string data_center = {};
  };
  /// Services and notifications between the member and its entry.
  struct Callbacks {
    /// Creates the owner for an ownership that has begun, initialized with the
    /// current catalog and VM list.
    std::function<std::shared_ptr<CellOwner>(CellOwner::Ownership ownership,
                                             CellOwner::Standing standing)>
        make_owner;
    /// Sends a request to the entry at an address.
    std::function<net::asio::awaitable<JobReply>(
        std::string address, JobRequest request, Millis timeout)>
        call_peer;
    /// Sends a probe to the entry at an address. Error kRefused: no process
    /// listens there.
    std::function<net::asio::awaitable<Result<OwnerProbeReply>>(
        std::string address, OwnerProbe probe)>
        probe_peer;
    /// The cell's owner has published the cell's load.
    std::function<void(const CellLoad& load)> on_load;
    /// The cell's owner has published its tail-latency estimates.
    std::function<void(const jobs::TailRecord& record)> on_tail_record;
  };

  /// The member's cell, and how many there are.
  struct Position {
    int cell = 0;
    int cells = 1;
  };

  /// Precondition: the references outlive the object.
  CellMember(net::asio::io_context& context, Store& store, const Clock& clock,
             Identity identity, ElectionSettings settings, Position position,
             std::uint64_t seed, Callbacks callbacks);

  void Start();
  /// Performs the work that depends on time alone, such as renewals and
  /// campaigns. `owned` is the number of cells that this node owns.
  void Tick(int owned);
  /// Null while this node does not own the cell.
  CellOwner* Owner() const { return owner_.get(); }
  bool Owns() const { return election_.Owns(); }
  /// Whether this node may own the cell soon: it has no owner, or this node is
  /// a candidate and doubts the owner.
  bool MayTakeOver() const {
    const bool known_vacant =
        election_.IsCaughtUp() && Knowledge() == OwnerKnowledge::kNone;
    return known_vacant ||
           follow_policy_.IsCandidateInDoubt(clock_.Monotonic());
  }
  /// The owner according to the newest record read; empty if there is none.
  const std::optional<OwnerRecord>& KnownOwner() const {
    return election_.Owner();
  }
  /// A peer owns the cell under `token`. Ends an older ownership of this node,
  /// and prevents one that this node does not know of yet.
  void OnStepDownRequest(std::int64_t token);
  /// The known owner did not serve a request, or may have been replaced. The
  /// member follows the cell's records until that is clear.
  void OnOwnerDoubted();
  /// The known owner has served a request.
  void OnOwnerServed() { outlook_.OnOwnerServed(); }
  void OnOwnerTakingOver() { outlook_.OnOwnerTakingOver(); }
  /// Whether the cell's records in the store are being read.
  bool ReadsStore() const { return watcher_ && !watcher_->IsFailing(); }
  /// Whether a change of owner is under way that should end soon.
  bool IsChangingOwner() const {
    return ReadsStore() && outlook_.IsChanging(clock_.Monotonic());
  }
  /// When the next owner is expected; 0 if that is not known.
  Millis NextOwnerIn() const { return outlook_.ExpectedIn(clock_.Monotonic()); }
  /// The owner's process with this incarnation has terminated.
  void OnOwnerTerminated(const std::string& incarnation);
  /// Returns whether this node owns the cell and no other node can have
  /// replaced it.
  bool IsAuthoritative() const {
    return owner_ && election_.IsAuthoritative(clock_.Monotonic());
  }
  /// A request of another entry was read, or found abandoned, after it had
  /// waited for `age` on this machine.
  void OnRequestRead(Millis age) {
    if (owner_) service_watch_.OnRequest(age);
  }
  /// Serves another entry's probe.
  OwnerProbeReply HandleProbe(const OwnerProbe& probe);
  /// Whether the member follows the cell's records in the store.
  bool IsFollowing() const { return watcher_ != nullptr; }
  /// Hands the cell over if this node owns it, and never campaigns again. If a
  /// claim of this node is still stored after that, it is released, too. Half
  /// of `limit` at most is given to the drain of the owner.
  net::asio::awaitable<void> Leave(Millis limit);
  /// Hands the cell over to another node and does not campaign for `cooldown`.
  /// `reason` is logged. Precondition: `reason` outlives the coroutine.
  net::asio::awaitable<void> Yield(
      Millis cooldown, const char* reason = "average tick delay too high");

 private:
  /// The key of owner records.
  static constexpr char kOwnerKey[] = "owner";
  /// How often an owner publishes its tail-latency estimates.
  static constexpr Millis kTailRecordInterval{3'000};

  OwnerKnowledge Knowledge() const;
  static std::vector<jobs::UnreachableVm> FromRecords(
      const std::vector<UnreachableVmRecord>& records, Millis now);
  static std::vector<UnreachableVmRecord> ToRecords(
      const std::vector<jobs::UnreachableVm>& unreachable_vms, Millis now);
  /// Starts or stops to follow the cell's records.
  void UpdateFollowing();
  void StartFollowing();
  net::asio::awaitable<void> ProbeOwner(OwnerRecord owner, bool owns_cells);
  void OnRecord(const KeyedRecord& record);
  void OnOwnerRecord(const KeyedRecord& record);
  void OnTailRecord(const KeyedRecord& record);
  /// Claims the cell without waiting for a tick if its last owner has named
  /// this node as successor.
  void ClaimAsSuccessor();
  /// Whether this node leaves or has yielded the cell, and so must not claim
  /// it.
  bool Abstains(Millis now) const {
    return leaving_ || yielding_ || now < no_campaign_before_;
  }
  void UpdateOutlook(const std::string& incarnation_before);
  void UpdateUnreachableVms(const OwnerRecord& record);
  /// Yields the cell if the owner needs too long to take it over.
  void YieldOverdueTakeOver(Millis now);
  /// Yields the cell if other entries' requests wait too long here.
  void YieldUnservedCell(Millis now);
  void LogLateRequests() const;
  /// Creates or stops the owner so that it matches the election.
  void SyncOwner();
  /// Releases the cell if this node owns it or a pending claim makes it the
  /// owner. Precondition: `leaving_` or `yielding_`.
  net::asio::awaitable<void> HandOver(Millis drain_timeout);
  /// Hands over the cell of a claim that was stored although this node is
  /// leaving or yielding.
  void StartHandOver();
  /// Stops the owner and returns the record that releases the cell, or nothing
  /// if the ownership has ended meanwhile.
  net::asio::awaitable<std::optional<OwnerRecord>> DrainOwner(
      Millis drain_timeout);
  /// Returns the record that releases a cell that was claimed but has no owner,
  /// so nothing was started under its token.
  OwnerRecord MakeVacantRecord() const;
  net::asio::awaitable<void> AppendVacantRecord(OwnerRecord record);
  /// Starts to append a record that was made from all records read so far.
  void StartAppend(OwnerRecord record);
  /// Appends if the partition still ends at `expected_end`.
  net::asio::awaitable<void> AppendOwnerRecord(OwnerRecord record,
                                               std::int64_t expected_end);
  /// Reads the partition again after an append that was sent at `sent` and was
  /// not confirmed. If this node still owns the cell, the ownership counts as
  /// confirmed at `sent`, but not as renewed.
  net::asio::awaitable<void> RereadPartition(Millis sent);
  CellOwner::Standing MakeStanding();
  void StopOwner();
  void StartStepDownRequests(const FormerOwner& former, std::int64_t token);
  /// Asks a former owner to step down until it confirms or `token` has ended.
  net::asio::awaitable<void> RequestStepDown(FormerOwner former,
                                             std::int64_t token);

  net::asio::io_context& context_;
  Store& store_;
  const Clock& clock_;
  Identity identity_;
  int cell_;
  Partition partition_;
  bool slow_machine_;
  Election election_;
  FollowPolicy follow_policy_;
  std::size_t max_candidates_;
  CandidateList candidates_;  ///< Of this node's ownership.
  OwnerOutlook outlook_;
  ServiceWatch service_watch_;
  /// As written with this ownership's newest renewals, for probes.
  CellLoad published_load_;
  std::optional<jobs::TailRecord> published_tails_;
  Callbacks callbacks_;
  Millis last_tails_request_;
  Millis last_tail_record_;
  bool load_published_ =
      false;  ///< Whether this ownership has published its load.
  std::shared_ptr<TopicWatcher> watcher_;
  std::shared_ptr<CellOwner> owner_;
  Millis owner_started_;
  std::int64_t owner_token_ = -1;
  /// Listed by the newest owner record, apart from this process's own claims,
  /// which repeat the list.
  std::vector<jobs::UnreachableVm> unreachable_vms_;
  std::vector<jobs::UnreachableVm> unreached_vms_;  ///< See OwnerRecord.
  bool appending_ = false;
  bool leaving_ = false;
  bool yielding_ = false;
  bool overloaded_ = false;  ///< While it yields for that.
  bool handing_over_ = false;
  Millis no_campaign_before_;  ///< End of the cooldown after a yield.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_MEMBER_H_
