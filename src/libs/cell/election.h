#ifndef BASILSPUR_CELL_ELECTION_H_
#define BASILSPUR_CELL_ELECTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "cell/owner_record.h"

namespace basilspur::cell {

struct ElectionSettings {
  Millis renewal{1'000};    ///< Between records of an owner.
  Millis silence{2'200};    ///< Without one, until others step in.
  Millis spread{250};       ///< Candidates wait a random part of this.
  Millis burden{150};       ///< And this for each cell that they own.
  Millis handicap{0};       ///< And this, on a slow machine.
  Millis fresh{1'500};      ///< Since a renewal, to speak for the cell.
  Millis orphaned{12'000};  ///< Without a renewal, to renew VMs' leases.
};

/// Decides when to run for a cell, and whether this node may act as its owner.
/// A decision only: the caller appends and reads.
///
/// Thread safety: one thread at a time.
class Election {
 public:
  Election(ElectionSettings settings, std::string node, std::string incarnation,
           std::uint64_t seed);

  /// A record of the cell was read, at `offset`.
  void OnRecord(const OwnerRecord& record, std::int64_t offset, Millis now);
  /// All records before `end` have been read.
  void OnEnd(std::int64_t end, Millis now);
  /// The owner's process does not exist any more, as its machine says.
  void OnOwnerDead(const std::string& incarnation, Millis now);
  /// A renewal that was sent at `sent` is in force at `offset`.
  void OnRenewed(std::int64_t offset, Millis sent, Millis now);
  /// Gives the cell up at once, without a record.
  void StepDown();

  /// True if the node should append a record that begins an ownership.
  /// `owned`: cells that this node owns by now.
  bool ShouldRun(int owned, Millis now);
  /// True if the owner should append a renewal.
  bool ShouldRenew(Millis now) const;

  bool Owns() const { return token_ >= 0; }
  /// Owns the cell, and no other can have been answering for it for long.
  bool IsFresh(Millis now) const;
  /// Has owned the cell for too long without the store.
  bool IsOrphaned(Millis now) const;

  std::int64_t Token() const { return token_; }
  std::int64_t Term() const { return term_; }
  std::int64_t End() const { return end_; }
  /// The owner as last read; empty if there is none.
  const std::optional<OwnerRecord>& Owner() const { return owner_; }
  /// Owners before this node's ownership that may still act.
  const std::vector<FormerOwner>& Former() const { return former_; }
  /// The former owner acts no more.
  void OnFormerGone(const FormerOwner& gone);
  /// True if the owner before gave the cell up itself, or there was none.
  bool WasHandedOver() const { return handed_over_; }
  /// True if it said so with a journal that names every run.
  bool HasWholeRecords() const { return handed_over_ && vacated_whole_; }
  OwnerRecord BeginRecord(const std::string& address) const;
  OwnerRecord RenewalRecord(const std::string& address) const;

 private:
  bool IsMine(const OwnerRecord& record) const;
  void Draw(int owned, Millis now);

  ElectionSettings settings_;
  std::string node_;
  std::string incarnation_;
  Random random_;
  std::optional<OwnerRecord> owner_;
  std::vector<FormerOwner> former_;
  bool handed_over_ = false;
  bool vacated_whole_ = true;  ///< As the last vacant record says, if any.
  bool read_ = false;          ///< The partition has been read to its end.
  std::int64_t end_ = 0;
  Millis seen_;  ///< When the owner last showed itself.
  std::optional<Millis> run_at_;
  std::int64_t token_ = -1;
  std::int64_t term_ = 0;
  Millis renewed_;  ///< When the last renewal in force was sent.
  std::int64_t abandoned_token_ = -1;  ///< Given up without a record.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_ELECTION_H_
