#ifndef BASILSPUR_ROUTING_SERVICE_ROUTER_H_
#define BASILSPUR_ROUTING_SERVICE_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "routing/admission_queue.h"
#include "routing/latency_quantile.h"
#include "routing/loan.h"
#include "routing/request.h"
#include "routing/retry_budget.h"
#include "routing/target.h"
#include "routing/target_picker.h"

namespace basilspur::routing {

/// The slots of a target that are assigned to this entry.
struct TargetShare {
  std::string address;
  std::string data_center;
  std::int64_t slots = 0;
  bool leaving = false;
};

/// The request waits for a slot; TakeDecisions() will return the decision.
struct Queued {};

using Admission = std::variant<Grant, Queued, Refusal>;
using Decision = std::variant<Grant, Refusal>;

/// Routes the requests of one service: admits and queues requests, selects
/// their targets, and lends and borrows slots.
///
/// Pure logic: time and randomness are arguments. Thread safety: one thread
/// at a time.
class ServiceRouter {
 public:
  explicit ServiceRouter(std::unique_ptr<TargetPicker> picker);

  /// Replaces the targets. Requests in flight at a target that is no longer
  /// listed keep their slot until Release().
  void SetTargets(std::span<const TargetShare> shares,
                  std::int64_t queue_limit);

  /// Grants the request a slot, queues it or refuses it. A refusal is final.
  Admission Admit(const Request& request, Millis now, Random& random);

  /// Returns the slot of a request whose attempt has ended. `latency` is the
  /// time from the grant to the end of the attempt.
  void Release(const std::string& target, AttemptOutcome outcome,
               Millis latency, Millis now);

  /// Removes and returns the decisions that are due now for queued requests.
  std::vector<Decision> TakeDecisions(Millis now, Random& random);

  /// Consumes a retry of the budget; false if none is left.
  bool TryTakeRetry() { return retry_budget_.TryTake(); }

  /// Time after which an idempotent request without an answer should be sent to
  /// another target, if the budget has a retry left; 0 until enough latencies
  /// have been observed.
  Millis AttemptTimeout() const;

  /// Lends up to `wanted` free slots until EndLoans() is called. A reserve of
  /// slots is not lent.
  std::vector<Loan> Lend(std::int64_t wanted, Millis now);
  /// Adds borrowed slots to the usable ones until EndLoans() is called.
  void Borrow(std::span<const Loan> loans);
  /// Ends loans that this entry has lent (`lent`) or borrowed.
  void EndLoans(std::span<const Loan> loans, bool lent);

  std::int64_t FreeSlots(Millis now) const;
  std::int64_t UsableSlots() const;
  std::int64_t InFlight() const;
  std::size_t QueueSize() const { return queue_.Size(); }
  const std::map<std::string, Target>& Targets() const { return targets_; }

  /// Estimated time that a new request of this urgency would wait for a slot.
  Millis EstimatedWait(int urgency) const;

 private:
  Target* PickTarget(const std::string& avoided_target, Millis now,
                     Random& random);
  bool HasUsableTarget(Millis now) const;
  Refusal Refuse(const Request& request, RefusalReason reason,
                 Random& random) const;

  std::unique_ptr<TargetPicker> picker_;
  std::map<std::string, Target> targets_;
  AdmissionQueue queue_;
  RetryBudget retry_budget_;
  LatencyQuantile latency_;
  std::int64_t queue_limit_ = 0;
  double average_hold_time_ms_ = 0;
  std::vector<Decision> due_decisions_;
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_SERVICE_ROUTER_H_
