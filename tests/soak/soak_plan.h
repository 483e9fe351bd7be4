#ifndef BASILSPUR_TESTS_SOAK_SOAK_PLAN_H_
#define BASILSPUR_TESTS_SOAK_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace basilspur::soak {

enum class Target { kNext, kNewest, kOwner };

/// What is done to the entries or to the store, at a time since the start of
/// the traffic.
struct Action {
  enum class Kind { kStop, kStopTwice, kKill, kFreeze, kSlow, kRefuse, kDrop };

  Millis at;
  Kind kind = Kind::kStop;
  int series = 0;  ///< Of stops; each series goes through the entries in turn.
  Target target = Target::kNext;
  Millis duration;  ///< Of a freeze or a fault of the store.
};

/// One run of the soak. It follows from the seed and the options alone.
struct SoakPlan {
  std::uint64_t seed = 0;
  int entries = 12;
  int cells = 3;
  int workers = 9;
  int callers = 24;
  Millis duration;
  /// Nothing but stops and restarts.
  bool planned_only = false;
  /// Whether stops wait until enough entries serve; without it all entries may
  /// be away at once, and no share of requests is owed.
  bool keeps_some = false;
  std::vector<Action> actions;  ///< By time.
};

/// What is the same for all seeds of a run.
struct SoakOptions {
  Millis duration{10'000};
  int entries = 0;     ///< 0: by seed.
  std::string faults;  ///< "none": planned work alone; "all"; or by seed.
};

SoakPlan MakePlan(std::uint64_t seed, const SoakOptions& options);

}  // namespace basilspur::soak

#endif  // BASILSPUR_TESTS_SOAK_SOAK_PLAN_H_
