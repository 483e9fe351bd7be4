#ifndef BASILSPUR_JOBS_JOB_SPEC_H_
#define BASILSPUR_JOBS_JOB_SPEC_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "jobs/step_spec.h"

namespace basilspur::jobs {

/// A job as submitted by a caller: steps of tasks, run once or periodically.
///
/// Thread safety: a plain value.
struct JobSpec {
  std::string payload;  ///< Passed to each task unchanged.
  std::vector<StepSpec> steps;
  std::int64_t first_start_ms = 0;  ///< Since the Unix epoch; 0: immediately.
  std::int64_t interval_ms = 0;     ///< Between the starts of two occurrences.
  std::int64_t repeats = 0;  ///< Number of occurrences; 0: one, immediately.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.payload, self.steps, self.first_start_ms, self.interval_ms,
            self.repeats);
  }

  bool IsLongRunning() const {
    return std::any_of(steps.begin(), steps.end(),
                       [](const StepSpec& step) { return step.long_running; });
  }

  /// Number of steps in the longest chain of dependencies.
  int LongestChain() const {
    std::vector<int> chain;  // Steps are listed after their dependencies.
    for (const StepSpec& step : steps) {
      int before = 0;
      for (const int earlier : step.dependencies) {
        before = std::max(before, chain[earlier]);
      }
      chain.push_back(before + 1);
    }
    return chain.empty() ? 0 : *std::max_element(chain.begin(), chain.end());
  }

  int Occurrences() const {
    return repeats > 0 ? static_cast<int>(repeats) : 1;
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOB_SPEC_H_
