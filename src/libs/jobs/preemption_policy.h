#ifndef BASILSPUR_JOBS_PREEMPTION_POLICY_H_
#define BASILSPUR_JOBS_PREEMPTION_POLICY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/vm.h"

namespace basilspur::jobs {

/// Chooses the runs that are stopped for a task of an urgent queue that no VM
/// has capacity for.
///
/// Answers VMs that are full of runs of lower priority, up to minutes long,
/// when urgent work arrives. It does not answer a cell that is full of urgent
/// work. A stopped run has to be done again, at least in part, so as few runs
/// as possible are stopped, and of these the ones whose callers lose least.
///
/// Thread safety: one thread at a time.
class PreemptionPolicy {
 public:
  /// Bounds the work that is lost while urgent jobs arrive in a burst.
  static constexpr int kMaxStopsPerSecond = 8;
  /// Number of runs that may be stopped for one task.
  static constexpr int kMaxVictims = 4;

  /// A run that may be stopped.
  struct Candidate {
    RunKey run;
    records::Resources charge;
    Millis age;
    bool has_checkpoint = false;
    bool past_use = false;  ///< Callers have no use for its job any more.
  };
  /// A VM that lacks nothing but capacity for the task.
  struct Option {
    std::string vm;
    records::Resources free;
    std::vector<Candidate> candidates;
  };
  struct Choice {
    std::string vm;
    std::vector<RunKey> runs;
  };

  /// Returns the runs to stop so that `need` fits; empty if the runs that may
  /// be stopped do not suffice, or too many were stopped in the last second.
  std::optional<Choice> Choose(const records::Resources& need,
                               std::span<const Option> options, Millis now);
  /// Records that a run was stopped. Precondition: `now` does not decrease.
  void OnStop(Millis now);
  /// Number of runs that were stopped.
  std::int64_t StopCount() const { return stop_count_; }

 private:
  int StopsLeft(Millis now);

  std::deque<Millis> recent_stops_;  ///< Those of the last second.
  std::int64_t stop_count_ = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PREEMPTION_POLICY_H_
