#ifndef BASILSPUR_CELL_ELECTION_H_
#define BASILSPUR_CELL_ELECTION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "cell/owner_record.h"

namespace basilspur::cell {

struct ElectionSettings {
  /// Interval at which an owner appends a renewal.
  Millis renewal_interval{1'000};
  /// An owner without a renewal for this long may be replaced by others.
  Millis owner_timeout{2'200};
  /// A candidate delays its claim by a random part of this.
  Millis campaign_jitter{250};
  /// Additional delay of a claim while another entry is named as successor.
  Millis successor_head_start{250};
  /// Additional delay of a claim for each cell that the candidate owns.
  Millis campaign_delay_per_cell{150};
  /// Additional delay of a claim on a slow machine.
  Millis slow_machine_delay{0};
  /// Number of entries that follow an owner's renewals. Some of them may be
  /// frozen, or in the owner's data center when it is lost.
  std::size_t max_candidates = 4;
  /// How long after a renewal an owner may report that a job does not exist.
  Millis authoritative_period{1'500};
  /// An owner without a renewal for this long steps down, and with that stops
  /// renewing the VMs' leases.
  Millis expiry{12'000};
};

/// Decides when to campaign for a cell, and whether this node may act as its
/// owner. It does no input or output: the caller appends and reads records.
///
/// Thread safety: one thread at a time.
class Election {
 public:
  Election(ElectionSettings settings, std::string node, std::string incarnation,
           std::uint64_t seed);

  /// The record at `offset` of the cell's partition was read. Returns false,
  /// and does nothing, if this record or a later one was read before.
  bool OnRecord(const OwnerRecord& record, std::int64_t offset, Millis now);
  /// The partition is no longer followed, so the owner's silence means nothing
  /// until OnEnd is called again.
  void OnFollowingStopped();
  /// All records before `end` have been read.
  void OnEnd(std::int64_t end, Millis now);
  /// The owner's process with this incarnation has terminated: its address
  /// refuses connections or belongs to another process.
  void OnOwnerTerminated(const std::string& incarnation, Millis now);
  /// The renewal that was sent at `sent` is stored, and the partition's last
  /// record is at `offset`.
  void OnRenewed(std::int64_t offset, Millis sent, Millis now);
  /// The partition was read after `sent`, and this node still owned the cell.
  void OnConfirmed(Millis sent);
  /// Releases the cell at once, without a record.
  void StepDown();
  /// Releases the cell at once if this node owns it under a lower token than
  /// `token`, and begins no such ownership any more: a claim may have been
  /// stored without this node's knowledge.
  void StepDownBefore(std::int64_t token);

  /// Returns whether the node should append a claim now. `owned` is the number
  /// of cells that it owns.
  bool ShouldCampaign(int owned, Millis now);
  /// Returns whether the cell was released and its last owner has named this
  /// node's process as its successor.
  bool IsNamedSuccessor() const {
    return !owner_ && !successor_.empty() && successor_ == incarnation_;
  }
  /// Returns whether the owner should append a renewal now.
  bool ShouldRenew(Millis now) const;

  /// Returns whether the partition is followed and was read to its end once.
  bool IsCaughtUp() const { return caught_up_; }
  bool Owns() const { return token_ >= 0; }
  /// Returns whether this node owns the cell and its newest renewal was sent so
  /// recently that no other node can have replaced it.
  bool IsAuthoritative(Millis now) const;
  /// Returns whether this node owns the cell but has not renewed for too long.
  bool IsExpired(Millis now) const;

  /// No other node had claimed the cell by then. Precondition: Owns().
  Millis LastConfirmed() const { return last_confirmed_; }
  /// When the newest stored renewal, or the claim, was sent.
  Millis LastRenewalSent() const { return last_renewal_sent_; }

  std::int64_t Token() const { return token_; }
  std::int64_t Term() const { return term_; }
  std::int64_t End() const { return end_; }
  /// The owner according to the newest record; empty if there is none.
  const std::optional<OwnerRecord>& Owner() const { return owner_; }
  /// Previous owners that are not known to have stopped.
  const std::vector<FormerOwner>& FormerOwners() const {
    return former_owners_;
  }
  /// How often in a row owners have released the cell because they were
  /// overloaded.
  int OverloadReleases() const { return overload_releases_; }
  /// The owner, this node, is not overloaded. Its next record says so.
  void ClearOverloadReleases() { overload_releases_ = 0; }
  /// The former owner has stopped acting as one.
  void OnFormerOwnerStopped(const FormerOwner& owner);
  /// No previous owner acts any more.
  void OnFormerOwnersStopped() { former_owners_.clear(); }
  /// Whether it is one of FormerOwners.
  bool IsFormerOwner(const FormerOwner& owner) const;
  /// Returns whether no former owner could act any more when this ownership
  /// began: the previous one had released the cell itself, or there was none.
  bool WasHandedOver() const { return handed_over_; }
  /// Returns whether additionally the journal lists every run.
  bool HasCompleteJournal() const {
    return handed_over_ && vacated_journal_complete_;
  }
  /// Returns the record that begins an ownership. It has to be appended at
  /// End(), and is sent at `now`.
  OwnerRecord MakeClaimRecord(const std::string& address, Millis now);
  OwnerRecord MakeRenewalRecord(const std::string& address) const;

 private:
  bool IsMine(const OwnerRecord& record) const;
  OwnerRecord MakeRecord(const std::string& address) const;
  void ScheduleCampaign(int owned, Millis now);

  ElectionSettings settings_;
  std::string node_;
  std::string incarnation_;
  Random random_;
  std::optional<OwnerRecord> owner_;
  std::vector<FormerOwner> former_owners_;
  bool handed_over_ = false;
  /// Whether the last vacant record, if any, marked the journal as complete.
  bool vacated_journal_complete_ = true;
  int overload_releases_ = 0;
  std::string successor_;   ///< According to the newest record, if vacant.
  bool caught_up_ = false;  ///< The partition was read to its end once.
  std::int64_t end_ = 0;
  std::int64_t newest_offset_ = -1;  ///< Of the newest owner record read.
  Millis owner_last_seen_;           ///< Start of the owner's time-out.
  std::optional<Millis> campaign_at_;
  std::int64_t token_ = -1;
  std::int64_t term_ = 0;
  Millis last_renewal_sent_;  ///< Send time of the newest stored renewal.
  Millis last_confirmed_;     ///< No other node had claimed the cell before.
  /// Where the newest claim of this node can be stored, and when the first one
  /// with this condition was sent.
  std::int64_t claim_offset_ = -1;
  Millis claim_sent_;
  std::int64_t abandoned_token_ = -1;  ///< Released without a record.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_ELECTION_H_
