#ifndef BASILSPUR_CELL_MEMBER_STARTS_H_
#define BASILSPUR_CELL_MEMBER_STARTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"

namespace basilspur::cell {

/// Decides when an entry that has just started begins to follow which cell. It
/// does no input or output.
///
/// Handles the load when all entries of a deployment start together: each cell
/// that an entry follows costs a few reads until its owner is known. 300
/// entries that follow 24 cells at once need more reads than the store answers
/// in seconds, and meanwhile no cell has an owner. Entries begin with a few
/// random cells; with ten entries a cell, some forty entries begin with each
/// cell. The other cells follow one after another, or when a request needs
/// them.
///
/// Thread safety: one thread at a time.
class MemberStarts {
 public:
  /// Precondition: cells > 0.
  MemberStarts(int cells, std::uint64_t seed);

  /// Returns the cells to follow from now on. Call with times that do not
  /// decrease, about every 100 ms.
  std::vector<int> Due(Millis now);
  /// A request needs the cell. Returns whether to follow it from now on, which
  /// is so if it was not returned before.
  bool Request(int cell);
  bool HasStarted(int cell) const { return started_[cell]; }

 private:
  std::vector<int> waiting_;  ///< In random order; the last one is next.
  std::vector<bool> started_;
  std::optional<Millis> next_start_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_MEMBER_STARTS_H_
