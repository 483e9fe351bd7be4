#ifndef BASILSPUR_ROUTING_RETRY_BUDGET_H_
#define BASILSPUR_ROUTING_RETRY_BUDGET_H_

namespace basilspur::routing {

/// Limits retries to a fraction of recent successes, so that retries can't
/// sustain an overload after its cause has ended.
///
/// Thread safety: one thread at a time.
class RetryBudget {
 public:
  /// Adds a fraction of a retry to the budget, up to its maximum.
  void RecordSuccess();

  /// Consumes one retry of the budget; false if less than one is left.
  bool TryTake();

 private:
  static constexpr double kInitialRetries = 10;
  static constexpr double kRetriesPerSuccess = 0.1;
  static constexpr double kMaxRetries = 100;

  double available_retries_ = kInitialRetries;
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_RETRY_BUDGET_H_
