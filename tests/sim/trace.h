#ifndef TESTS_SIM_TRACE_H_
#define TESTS_SIM_TRACE_H_

#include <string>
#include <vector>

#include "base/clock.h"

namespace basilspur::sim {

/// The events of a simulation, for the report of a failure.
///
/// Thread safety: one thread at a time.
class Trace {
 public:
  /// Precondition: `clock` outlives the trace.
  explicit Trace(const Clock& clock)
      : clock_(clock), started_(clock.Monotonic()) {}

  void Add(const std::string& event) {
    lines_.push_back(std::to_string((clock_.Monotonic() - started_).count) +
                     " " + event);
  }
  const std::vector<std::string>& Lines() const { return lines_; }

 private:
  const Clock& clock_;
  Millis started_;
  std::vector<std::string> lines_;
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_TRACE_H_
