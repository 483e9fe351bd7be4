#include "cell/turn_times.h"

#include <algorithm>
#include <utility>

namespace basilspur::cell {

const char* NameOf(OwnerTurn turn) {
  switch (turn) {
    case OwnerTurn::kPlan:
      return "plan";
    case OwnerTurn::kReport:
      return "report";
    case OwnerTurn::kBatch:
      return "batch";
    case OwnerTurn::kRestore:
      return "restore";
  }
  return "";
}

void TurnTimes::Add(OwnerTurn turn, Millis took) {
  Counts& counts = counts_[static_cast<std::size_t>(turn)];
  ++counts.all;
  if (took > Millis(10)) ++counts.over_10_ms;
  if (took > Millis(100)) ++counts.over_100_ms;
  counts.longest = std::max(counts.longest, took);
}

std::string TurnTimes::TakeFields() {
  std::string fields;
  for (int turn = 0; turn < kOwnerTurns; ++turn) {
    const Counts counts = std::exchange(counts_[turn], {});
    const std::string name = NameOf(static_cast<OwnerTurn>(turn));
    fields += " " + name + "_turns=" + std::to_string(counts.all) + " " + name +
              "_over_10_ms=" + std::to_string(counts.over_10_ms) + " " + name +
              "_over_100_ms=" + std::to_string(counts.over_100_ms) + " " +
              name + "_max_ms=" + std::to_string(counts.longest.count);
  }
  return fields;
}

}  // namespace basilspur::cell
