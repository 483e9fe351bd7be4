#ifndef BASILSPUR_NET_TIMER_H_
#define BASILSPUR_NET_TIMER_H_

#include <chrono>
#include <utility>

#include "net/asio.h"

namespace basilspur::net {

class Timer;

/// Replaces the steady clock of all Timers, for tests in simulated time.
///
/// Thread safety: only from the thread that runs the timers' io_contexts.
class TimerSimulation {
 public:
  virtual ~TimerSimulation() = default;

  /// Calls `timer.Cancel()` once `delay` has passed.
  virtual void Schedule(Timer& timer, Millis delay) = 0;
  virtual void Remove(Timer& timer) = 0;

  /// Takes effect for timers that are created afterwards; null: real time.
  /// Precondition: `simulation` outlives these timers.
  static void Install(TimerSimulation* simulation) { installed_ = simulation; }
  static TimerSimulation* Installed() { return installed_; }

 private:
  inline static TimerSimulation* installed_ = nullptr;
};

/// A timer on the steady clock, or on simulated time if a test has installed
/// it. In simulated time a wait always completes with operation_aborted.
///
/// Thread safety: as its io_context.
class Timer {
 public:
  explicit Timer(const asio::steady_timer::executor_type& executor)
      : timer_(executor), simulation_(TimerSimulation::Installed()) {}
  explicit Timer(asio::io_context& context) : Timer(context.get_executor()) {}
  ~Timer() { Disarm(); }

  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Cancels pending waits. Later waits complete once `delay` has passed.
  void ExpireAfter(Millis delay) {
    if (!simulation_) {
      timer_.expires_after(std::chrono::milliseconds(delay.count));
      return;
    }
    timer_.expires_at(asio::steady_timer::time_point::max());
    simulation_->Schedule(*this, delay);
  }
  /// Cancels pending waits. Later waits complete on Cancel() only.
  void ExpireNever() {
    Disarm();
    timer_.expires_at(asio::steady_timer::time_point::max());
  }
  /// Completes pending waits.
  void Cancel() { timer_.cancel(); }

  template <class Token>
  auto AsyncWait(Token&& token) {
    return timer_.async_wait(std::forward<Token>(token));
  }

 private:
  void Disarm() {
    if (simulation_) simulation_->Remove(*this);
  }

  asio::steady_timer timer_;
  TimerSimulation* simulation_;
};

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_TIMER_H_
