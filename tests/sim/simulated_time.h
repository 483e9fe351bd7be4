#ifndef TESTS_SIM_SIMULATED_TIME_H_
#define TESTS_SIM_SIMULATED_TIME_H_

#include <cstdint>
#include <map>
#include <utility>

#include "base/clock.h"
#include "net/timer.h"

namespace basilspur::sim {

/// The time of a simulation. It advances only by AdvanceToNextTimer().
///
/// Thread safety: one thread at a time.
class SimulatedTime final : public net::TimerSimulation, public Clock {
 public:
  SimulatedTime() { Install(this); }
  ~SimulatedTime() override { Install(nullptr); }

  Millis Monotonic() const override { return now_; }
  Millis Wall() const override;

  void Schedule(net::Timer& timer, Millis delay) override;
  void Remove(net::Timer& timer) override;

  /// Moves the time to the next timer, but not beyond `limit`, and completes
  /// the waits that are due.
  void AdvanceToNextTimer(Millis limit);

 private:
  /// Timers that are due at the same time fire in the order of scheduling.
  using Key = std::pair<std::int64_t, std::int64_t>;

  Millis now_{1'000'000};
  std::int64_t scheduled_ = 0;
  std::map<Key, net::Timer*> timers_;
  std::map<net::Timer*, Key> keys_;
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_SIMULATED_TIME_H_
