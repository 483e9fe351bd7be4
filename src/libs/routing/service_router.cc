#include "routing/service_router.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace basilspur::routing {

/// Weight of a new sample in the moving average of the hold time.
static constexpr double kHoldTimeWeight = 0.02;
static constexpr Millis kMinRetryAfter(100);
static constexpr Millis kRetryAfterNoTarget(500);
/// The attempt time-out is the 99th percentile of the latency times this
/// factor.
static constexpr std::int64_t kAttemptTimeoutFactor = 2;
static constexpr Millis kMinAttemptTimeout(50);
/// One in this many usable slots is not lent but reserved for the entry's own
/// next requests.
static constexpr std::int64_t kLendReserveDivisor = 10;

ServiceRouter::ServiceRouter(std::unique_ptr<TargetPicker> picker)
    : picker_(std::move(picker)) {}

void ServiceRouter::SetTargets(std::span<const TargetShare> shares,
                               std::int64_t queue_limit) {
  queue_limit_ = queue_limit;
  std::set<std::string> listed;
  for (const auto& share : shares) {
    listed.insert(share.address);
    Target& target = targets_[share.address];
    target.address = share.address;
    target.data_center = share.data_center;
    target.base_slots = share.slots;
    target.leaving = share.leaving;
  }
  for (auto& [address, target] : targets_) {
    if (!listed.contains(address)) target.leaving = true;
  }
  std::erase_if(targets_, [&](const auto& item) {
    return !listed.contains(item.first) && item.second.in_flight == 0;
  });
}

Admission ServiceRouter::Admit(const Request& request, Millis now,
                               Random& random) {
  if (queue_.SizeAhead(request.urgency) == 0) {
    if (Target* target = PickTarget(request.avoided_target, now, random)) {
      ++target->in_flight;
      return Grant{request.ticket, target->address};
    }
  }
  if (!HasUsableTarget(now)) {
    return Refuse(request, RefusalReason::kNoTarget, random);
  }
  const Millis wait = EstimatedWait(request.urgency);
  const Millis hold_time(std::llround(average_hold_time_ms_));
  if (now + wait + hold_time > request.deadline) {
    return Refuse(request, RefusalReason::kWouldMissDeadline, random);
  }
  if (static_cast<std::int64_t>(queue_.Size()) >= queue_limit_) {
    std::optional<Request> displaced =
        queue_.PopLessUrgentThan(request.urgency);
    if (!displaced) return Refuse(request, RefusalReason::kQueueFull, random);
    due_decisions_.emplace_back(
        Refuse(*displaced, RefusalReason::kDisplaced, random));
  }
  queue_.Push(request);
  return Queued{};
}

Target* ServiceRouter::PickTarget(const std::string& avoided_target, Millis now,
                                  Random& random) {
  std::vector<const Target*> candidates;
  Target* fallback = nullptr;
  for (auto& [address, target] : targets_) {
    if (target.leaving || target.FreeSlots() <= 0) continue;
    if (!target.health.Accepts(now, target.in_flight)) continue;
    if (address == avoided_target) {
      fallback = &target;
    } else {
      candidates.push_back(&target);
    }
  }
  if (candidates.empty()) return fallback;
  const std::size_t index = picker_->Pick(candidates, random);
  return &targets_.at(candidates[index]->address);
}

bool ServiceRouter::HasUsableTarget(Millis now) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& item) {
    const Target& target = item.second;
    return !target.leaving && !target.health.IsEjected(now);
  });
}

Refusal ServiceRouter::Refuse(const Request& request, RefusalReason reason,
                              Random& random) const {
  // Random jitter, so that requests that are refused together are not retried
  // together.
  const Millis base = reason == RefusalReason::kNoTarget
                          ? kRetryAfterNoTarget
                          : kMinRetryAfter + EstimatedWait(kMaxUrgency);
  const auto jitter_range_ms = static_cast<std::uint64_t>(base.count);
  return {
      request.ticket, reason,
      base + Millis(static_cast<std::int64_t>(random.Below(jitter_range_ms)))};
}

Millis ServiceRouter::EstimatedWait(int urgency) const {
  const std::int64_t slots = std::max<std::int64_t>(UsableSlots(), 1);
  const auto ahead = static_cast<double>(queue_.SizeAhead(urgency) + 1);
  return Millis(
      std::llround(ahead * average_hold_time_ms_ / static_cast<double>(slots)));
}

void ServiceRouter::Release(const std::string& address, AttemptOutcome outcome,
                            Millis latency, Millis now) {
  const auto found = targets_.find(address);
  if (found == targets_.end()) return;
  Target& target = found->second;
  --target.in_flight;
  target.health.Record(outcome, latency, now);
  if (outcome != AttemptOutcome::kAnswered) return;
  retry_budget_.RecordSuccess();
  latency_.Observe(latency);
  const auto hold_time_ms = static_cast<double>(latency.count);
  average_hold_time_ms_ = average_hold_time_ms_ == 0
                              ? hold_time_ms
                              : average_hold_time_ms_ * (1 - kHoldTimeWeight) +
                                    hold_time_ms * kHoldTimeWeight;
}

Millis ServiceRouter::AttemptTimeout() const {
  const Millis p99 = latency_.Estimate();
  if (p99.count == 0) return {};
  return std::max(p99 * kAttemptTimeoutFactor, kMinAttemptTimeout);
}

std::vector<Decision> ServiceRouter::TakeDecisions(Millis now, Random& random) {
  std::vector<Decision> decisions = std::exchange(due_decisions_, {});
  const Millis hold_time(std::llround(average_hold_time_ms_));
  if (queue_.Size() > 0) {
    // With at least half of the average hold time left, a request may still
    // finish in time; with less, it would only waste a slot.
    for (const auto& expired : queue_.PopExpired(now + hold_time / 2)) {
      decisions.emplace_back(
          Refuse(expired, RefusalReason::kWouldMissDeadline, random));
    }
  }
  const bool no_usable_target = queue_.Size() > 0 && !HasUsableTarget(now);
  while (queue_.Size() > 0) {
    Target* target = no_usable_target ? nullptr : PickTarget("", now, random);
    if (target == nullptr && !no_usable_target) break;
    const Request request = *queue_.Pop();
    if (no_usable_target) {
      decisions.emplace_back(Refuse(request, RefusalReason::kNoTarget, random));
      continue;
    }
    ++target->in_flight;
    decisions.emplace_back(Grant{request.ticket, target->address});
  }
  return decisions;
}

std::vector<Loan> ServiceRouter::Lend(std::int64_t wanted, Millis now) {
  std::vector<Loan> loans;
  if (queue_.Size() > 0) return loans;
  const std::int64_t reserve = UsableSlots() / kLendReserveDivisor;
  std::int64_t remaining = std::min(wanted, FreeSlots(now) - reserve);
  for (auto& [address, target] : targets_) {
    if (remaining <= 0) break;
    if (target.leaving || !target.health.Accepts(now, 0)) continue;
    const std::int64_t free_own_slots =
        std::min(target.FreeSlots(), target.base_slots - target.lent);
    const std::int64_t slots = std::min(remaining, free_own_slots);
    if (slots <= 0) continue;
    target.lent += slots;
    remaining -= slots;
    loans.push_back({address, slots});
  }
  return loans;
}

void ServiceRouter::Borrow(std::span<const Loan> loans) {
  for (const auto& loan : loans) {
    const auto target = targets_.find(loan.target);
    if (target != targets_.end()) target->second.borrowed += loan.slots;
  }
}

void ServiceRouter::EndLoans(std::span<const Loan> loans, bool lent) {
  for (const auto& loan : loans) {
    const auto found = targets_.find(loan.target);
    if (found == targets_.end()) continue;
    std::int64_t& count = lent ? found->second.lent : found->second.borrowed;
    count = std::max<std::int64_t>(count - loan.slots, 0);
  }
}

std::int64_t ServiceRouter::FreeSlots(Millis now) const {
  std::int64_t free = 0;
  for (const auto& [address, target] : targets_) {
    if (target.leaving || !target.health.Accepts(now, target.in_flight)) {
      continue;
    }
    free += std::max<std::int64_t>(target.FreeSlots(), 0);
  }
  return free;
}

std::int64_t ServiceRouter::UsableSlots() const {
  std::int64_t usable = 0;
  for (const auto& [address, target] : targets_) {
    if (!target.leaving) usable += target.UsableSlots();
  }
  return usable;
}

std::int64_t ServiceRouter::InFlight() const {
  std::int64_t in_flight = 0;
  for (const auto& [address, target] : targets_) in_flight += target.in_flight;
  return in_flight;
}

}  // namespace basilspur::routing
