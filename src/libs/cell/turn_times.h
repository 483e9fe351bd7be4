#ifndef BASILSPUR_CELL_TURN_TIMES_H_
#define BASILSPUR_CELL_TURN_TIMES_H_

#include <array>
#include <cstdint>
#include <string>

#include "base/clock.h"

namespace basilspur::cell {

/// What an owner does in one turn of its event loop. Nothing else is served
/// meanwhile.
enum class OwnerTurn {
  kPlan,     ///< A plan of its scheduler.
  kReport,   ///< Processing a VM's report.
  kBatch,    ///< Encoding a journal batch.
  kRestore,  ///< Restoring the cell from the journal's records.
};
inline constexpr int kOwnerTurns = static_cast<int>(OwnerTurn::kRestore) + 1;

/// Returns the turn's name in the log.
const char* NameOf(OwnerTurn turn);

/// Counts how long the turns of an owner's event loop take.
///
/// Thread safety: one thread at a time.
class TurnTimes {
 public:
  /// Turns that take this long are logged one by one.
  static constexpr Millis kSlow{50};

  /// Precondition: `took` >= 0.
  void Add(OwnerTurn turn, Millis took);
  /// Returns the turns since the last call as log fields with leading spaces:
  /// their number, those over 10 and over 100 ms, and the maximum in ms.
  std::string TakeFields();

 private:
  struct Counts {
    std::int64_t all = 0;
    std::int64_t over_10_ms = 0;
    std::int64_t over_100_ms = 0;
    Millis longest;
  };

  std::array<Counts, kOwnerTurns> counts_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_TURN_TIMES_H_
