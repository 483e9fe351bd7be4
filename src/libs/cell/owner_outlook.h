#ifndef BASILSPUR_CELL_OWNER_OUTLOOK_H_
#define BASILSPUR_CELL_OWNER_OUTLOOK_H_

#include <optional>

#include "base/clock.h"

namespace basilspur::cell {

/// Estimates, for one cell, when an owner will serve again, so that a request
/// that meets a change of owner waits for its end instead of being refused. It
/// is meant for changes that complete: a request that the next owner can't
/// serve in time must be refused at once. It does no input or output.
///
/// Thread safety: one thread at a time.
class OwnerOutlook {
 public:
  /// The known owner doesn't serve, or none is known. If that is the first time
  /// for longer than a change of owner takes, a new change begins: an earlier
  /// one has ended unnoticed if nobody has called the owner since.
  void OnOwnerMissing(Millis now);
  /// An owner has answered as such.
  void OnOwnerServed();
  /// A renewal of the owner was read. The first one after it was missed may be
  /// an old one. If it renews again and still doesn't serve this entry, it is
  /// unreachable from here, and nobody replaces it.
  void OnOwnerRenewed();
  /// The known owner has answered that it doesn't serve yet.
  void OnOwnerTakingOver() {
    renewals_ = 0;
    missed_since_renewal_ = false;
  }
  /// Another owner has begun, or the last one has ended: the next one serves
  /// once it has read the journal.
  void OnOwnerChanged(Millis now);

  /// Whether a change of owner is under way that should end soon.
  bool IsChanging(Millis now) const;
  /// When the next owner is expected; 0 if the change is overdue or there is
  /// none.
  Millis ExpectedIn(Millis now) const;

 private:
  std::optional<Millis> missing_since_;
  std::optional<Millis> noted_at_;  ///< When it was missed or changed last.
  int renewals_ = 0;                ///< Since the owner was missed.
  bool missed_since_renewal_ = false;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_OWNER_OUTLOOK_H_
