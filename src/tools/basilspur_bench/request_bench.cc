#include "request_bench.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "base/random.h"
#include "event_queue.h"
#include "request_tally.h"
#include "routing/service_router.h"
#include "routing/slot_partition.h"

namespace basilspur::bench {

using routing::AttemptOutcome;
using routing::Grant;
using routing::Refusal;
using routing::ServiceRouter;
using routing::Ticket;

static constexpr int kEntries = 9;
static constexpr int kSlotsPerTarget = 8;
static constexpr std::int64_t kMicrosPerMilli = 1'000;
static constexpr std::int64_t kMeanServiceTimeMicros = 50 * kMicrosPerMilli;
/// Time-out of a request, counted from its arrival at an entry.
static constexpr std::int64_t kDeadlineMicros = 1'000 * kMicrosPerMilli;
/// One-way delay of a message.
static constexpr std::int64_t kNetworkDelayMicros = 1 * kMicrosPerMilli;
static constexpr std::int64_t kWarmUpMicros = 5'000 * kMicrosPerMilli;
static constexpr std::int64_t kEndMicros = 35'000 * kMicrosPerMilli;
static constexpr std::int64_t kBorrowIntervalMicros = 5 * kMicrosPerMilli;
/// Start of the load spike; also the time at which an entry fails.
static constexpr std::int64_t kFaultStartMicros = 15'000 * kMicrosPerMilli;
static constexpr std::int64_t kSpikeDurationMicros = 5'000 * kMicrosPerMilli;
static constexpr std::int64_t kFlapIntervalMicros = 2'000 * kMicrosPerMilli;
/// Time until the other entries detect that an entry has failed.
static constexpr std::int64_t kEntryTimeoutMicros = 1'500 * kMicrosPerMilli;
static constexpr std::int64_t kFinalWindowMicros = 10'000 * kMicrosPerMilli;
/// Total time that a caller waits for an answer, from the first send of the
/// request and including all resends.
static constexpr std::int64_t kCallerTimeoutMicros = 2'000 * kMicrosPerMilli;
static constexpr int kMaxSends = 3;
static constexpr Millis kLoanDuration(1'000);
static constexpr std::int64_t kQueueLimit = 256;
/// Number of slots and queue limit under policies that do not limit the
/// requests in flight: they forward every request at once.
static constexpr std::int64_t kUnlimited = 1'000'000;

namespace {

struct PendingRequest {
  std::int64_t arrived_at = 0;
  std::int64_t first_sent_at = 0;
  int sends = 1;
  std::int64_t granted_at = 0;
  std::int64_t service_micros = 0;
  int entry = 0;
  int attempts = 0;
};

/// An executor: a number of slots and a queue of requests that wait for one.
struct Executor {
  int busy_slots = 0;
  std::deque<Ticket> queue;
  double service_time_factor = 1;
  bool down = false;          ///< Refuses connections.
  bool unresponsive = false;  ///< Accepts requests but never answers.
};

class RequestSimulation {
 public:
  explicit RequestSimulation(const RequestScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    const bool ideal = scenario_.policy == "ideal";
    partitions_slots_ = scenario_.policy == "basilspur";
    const int executors = ideal ? 1 : scenario_.targets;
    executors_.resize(static_cast<std::size_t>(executors));
    slots_per_executor_ =
        ideal ? kSlotsPerTarget * scenario_.targets : kSlotsPerTarget;
    if (!ideal) {
      executors_[0].service_time_factor = scenario_.slow_target_factor;
      executors_[0].down = scenario_.down_target;
      executors_[0].unresponsive = scenario_.unresponsive_target;
    }
    const std::string picker =
        partitions_slots_ || ideal ? "least-expected-delay" : scenario_.policy;
    for (int i = 0; i < kEntries; ++i) {
      routers_.push_back(
          std::make_unique<ServiceRouter>(routing::MakeTargetPicker(picker)));
      routers_.back()->SetTargets(TargetSharesOf(i),
                                  partitions_slots_ ? kQueueLimit : kUnlimited);
    }
  }

  RequestResults Run() {
    ScheduleArrival();
    if (partitions_slots_)
      events_.ScheduleAfter(kBorrowIntervalMicros,
                            [this] { BorrowForQueuedRequests(); });
    if (scenario_.flapping_target && executors_.size() > 1)
      ToggleFirstExecutor();
    if (scenario_.entry_fails)
      events_.ScheduleAt(kFaultStartMicros, [this] { FailEntry(); });
    events_.RunUntil(kEndMicros);
    const double measured_micros = kEndMicros - kWarmUpMicros;
    return tally_.ComputeResults(measured_micros * kSlotsPerTarget *
                                 scenario_.targets /
                                 static_cast<double>(kMeanServiceTimeMicros));
  }

 private:
  Millis NowMillis() const { return Millis(events_.Now() / kMicrosPerMilli); }

  void ToggleFirstExecutor() {
    executors_[0].down = !executors_[0].down;
    events_.ScheduleAfter(kFlapIntervalMicros,
                          [this] { ToggleFirstExecutor(); });
  }

  /// Ends the last entry: its pending requests fail and the load balancer sends
  /// it no more requests. The other entries take over its slots when the
  /// heartbeat time-out has passed.
  void FailEntry() {
    entries_up_ = kEntries - 1;
    std::erase_if(pending_, [this](const auto& item) {
      const bool is_lost = item.second.entry >= entries_up_;
      if (is_lost) tally_.RecordFailure(events_.Now());
      return is_lost;
    });
    events_.ScheduleAfter(kEntryTimeoutMicros, [this] {
      for (int i = 0; i < entries_up_; ++i) {
        Router(i).SetTargets(TargetSharesOf(i),
                             partitions_slots_ ? kQueueLimit : kUnlimited);
        Dispatch(i);
      }
    });
  }

  std::vector<routing::TargetShare> TargetSharesOf(int entry) const {
    const std::vector<std::int64_t> slots(
        executors_.size(), routing::WithPipelining(kSlotsPerTarget));
    const auto owned =
        routing::PartitionSlots(slots, static_cast<std::size_t>(entry),
                                static_cast<std::size_t>(entries_up_), 0);
    std::vector<routing::TargetShare> shares;
    for (std::size_t i = 0; i < executors_.size(); ++i) {
      shares.push_back({"t" + std::to_string(i), "dc",
                        partitions_slots_ ? owned[i] : kUnlimited, false});
    }
    return shares;
  }

  double SampleExponential(double mean) {
    return -mean * std::log(1 - random_.NextDouble());
  }

  void ScheduleArrival() {
    const double capacity_per_micro =
        static_cast<double>(kSlotsPerTarget * scenario_.targets) /
        kMeanServiceTimeMicros;
    const bool in_spike =
        events_.Now() >= kFaultStartMicros &&
        events_.Now() < kFaultStartMicros + kSpikeDurationMicros;
    const double load =
        scenario_.load * (in_spike ? scenario_.spike_factor : 1);
    const double interarrival_micros =
        SampleExponential(1 / (capacity_per_micro * load));
    events_.ScheduleAfter(static_cast<std::int64_t>(interarrival_micros),
                          [this] {
                            PendingRequest pending;
                            pending.first_sent_at = events_.Now();
                            tally_.RecordArrival(pending.first_sent_at);
                            HandleArrival(pending);
                            ScheduleArrival();
                          });
  }

  void HandleArrival(PendingRequest pending) {
    pending.arrived_at = events_.Now();
    pending.service_micros =
        static_cast<std::int64_t>(SampleExponential(kMeanServiceTimeMicros));
    const bool goes_to_first_entry =
        random_.Chance(scenario_.first_entry_share);
    pending.entry = goes_to_first_entry
                        ? 0
                        : static_cast<int>(random_.Below(
                              static_cast<std::uint64_t>(entries_up_)));
    const Ticket ticket = ++last_ticket_;
    pending_[ticket] = pending;
    if (scenario_.callers_resend) {
      events_.ScheduleAfter(kDeadlineMicros, [this, ticket] {
        const auto found = pending_.find(ticket);
        if (found != pending_.end()) Resend(found->second, 0);
      });
    }
    Admit(ticket, "");
  }

  /// The caller sends the request again, without knowing the outcome of its
  /// previous send.
  void Resend(PendingRequest pending, std::int64_t delay_micros) {
    if (!scenario_.callers_resend || pending.sends >= kMaxSends) return;
    PendingRequest resend;
    resend.first_sent_at = pending.first_sent_at;
    resend.sends = pending.sends + 1;
    events_.ScheduleAfter(delay_micros,
                          [this, resend] { HandleArrival(resend); });
  }

  void Admit(Ticket ticket, const std::string& avoided_target) {
    const PendingRequest& pending = pending_.at(ticket);
    routing::Request request;
    request.ticket = ticket;
    request.avoided_target = avoided_target;
    request.arrived = Millis(pending.arrived_at / kMicrosPerMilli);
    request.deadline =
        Millis((pending.arrived_at + kDeadlineMicros) / kMicrosPerMilli);
    const auto admission =
        Router(pending.entry).Admit(request, NowMillis(), random_);
    if (const auto* grant = std::get_if<Grant>(&admission))
      StartAttempt(*grant);
    if (const auto* refusal = std::get_if<Refusal>(&admission)) {
      HandleRefusal(*refusal);
    }
    Dispatch(pending.entry);
  }

  ServiceRouter& Router(int entry) {
    return *routers_[static_cast<std::size_t>(entry)];
  }

  void Dispatch(int entry) {
    for (const auto& decision :
         Router(entry).TakeDecisions(NowMillis(), random_)) {
      if (const auto* grant = std::get_if<Grant>(&decision))
        StartAttempt(*grant);
      if (const auto* refusal = std::get_if<Refusal>(&decision)) {
        HandleRefusal(*refusal);
      }
    }
  }

  void HandleRefusal(const Refusal& refusal) {
    const auto found = pending_.find(refusal.ticket);
    if (found == pending_.end()) return;
    tally_.RecordRefusal(events_.Now());
    const PendingRequest pending = found->second;
    pending_.erase(found);
    Resend(pending, refusal.retry_after.count * kMicrosPerMilli);
  }

  void StartAttempt(const Grant& grant) {
    PendingRequest& pending = pending_.at(grant.ticket);
    pending.granted_at = events_.Now();
    const auto index =
        static_cast<std::size_t>(std::stoi(grant.target.substr(1)));
    ScheduleAttemptTimeout(grant.ticket, index, pending);
    events_.ScheduleAfter(
        kNetworkDelayMicros, [this, ticket = grant.ticket, index] {
          Executor& executor = executors_[index];
          if (executor.down) {
            EndAttempt(ticket, index, AttemptOutcome::kNotConnected);
            return;
          }
          if (executor.unresponsive) return;
          executor.queue.push_back(ticket);
          ServeNext(index);
        });
  }

  /// Schedules the end of an attempt on an unresponsive target: at the attempt
  /// time-out, if the policy has one, and at the latest at the deadline of the
  /// request. All requests of the benchmark are idempotent, so an attempt that
  /// timed out may be retried.
  void ScheduleAttemptTimeout(Ticket ticket, std::size_t index,
                              const PendingRequest& pending) {
    if (!executors_[index].unresponsive) return;
    const std::int64_t deadline = pending.arrived_at + kDeadlineMicros;
    const Millis attempt_timeout = Router(pending.entry).AttemptTimeout();
    const bool has_attempt_timeout =
        partitions_slots_ && attempt_timeout.count > 0;
    const std::int64_t attempt_end =
        has_attempt_timeout
            ? pending.granted_at + attempt_timeout.count * kMicrosPerMilli
            : deadline;
    events_.ScheduleAt(std::min(attempt_end, deadline), [this, ticket, index] {
      if (!pending_.contains(ticket)) return;
      EndAttempt(ticket, index, AttemptOutcome::kSilent);
    });
  }

  void ServeNext(std::size_t index) {
    Executor& executor = executors_[index];
    while (executor.busy_slots < slots_per_executor_ &&
           !executor.queue.empty()) {
      const Ticket ticket = executor.queue.front();
      executor.queue.pop_front();
      if (!pending_.contains(ticket)) continue;
      ++executor.busy_slots;
      const auto duration_micros = static_cast<std::int64_t>(
          static_cast<double>(pending_.at(ticket).service_micros) *
          executor.service_time_factor);
      events_.ScheduleAfter(duration_micros, [this, ticket, index] {
        --executors_[index].busy_slots;
        ServeNext(index);
        events_.ScheduleAfter(kNetworkDelayMicros, [this, ticket, index] {
          EndAttempt(ticket, index, AttemptOutcome::kAnswered);
        });
      });
    }
  }

  void EndAttempt(Ticket ticket, std::size_t index, AttemptOutcome outcome) {
    const auto found = pending_.find(ticket);
    if (found == pending_.end()) return;
    PendingRequest& pending = found->second;
    const std::string target = "t" + std::to_string(index);
    const Millis latency((events_.Now() - pending.granted_at) /
                         kMicrosPerMilli);
    const int entry = pending.entry;
    Router(entry).Release(target, outcome, latency, NowMillis());
    constexpr int kMaxAttempts = 4;
    if (outcome != AttemptOutcome::kAnswered &&
        ++pending.attempts < kMaxAttempts && Router(entry).TryTakeRetry()) {
      Admit(ticket, target);
    } else {
      RecordEnd(pending, outcome);
      pending_.erase(ticket);
    }
    Dispatch(entry);
  }

  void RecordEnd(const PendingRequest& pending, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome::kAnswered) {
      tally_.RecordAnswer(events_.Now(), pending.arrived_at,
                          pending.first_sent_at);
    } else {
      tally_.RecordFailure(events_.Now());
    }
  }

  /// Lets every entry with queued requests borrow slots from the peer with most
  /// free slots. As between real entries, the request and its reply each take
  /// one network delay.
  void BorrowForQueuedRequests() {
    for (int entry = 0; entry < kEntries; ++entry) {
      const auto queued = static_cast<std::int64_t>(Router(entry).QueueSize());
      if (queued > 0) Borrow(entry, queued);
      Dispatch(entry);
    }
    events_.ScheduleAfter(kBorrowIntervalMicros,
                          [this] { BorrowForQueuedRequests(); });
  }

  void Borrow(int entry, std::int64_t wanted) {
    int lender = entry;
    std::int64_t most_free = 0;
    for (int peer = 0; peer < kEntries; ++peer) {
      const std::int64_t free = Router(peer).FreeSlots(NowMillis());
      if (peer == entry || free <= most_free) continue;
      lender = peer;
      most_free = free;
    }
    if (lender == entry) return;
    events_.ScheduleAfter(
        2 * kNetworkDelayMicros, [this, entry, lender, wanted] {
          const auto loans = Router(lender).Lend(wanted, NowMillis());
          if (loans.empty()) return;
          Router(entry).Borrow(loans);
          Dispatch(entry);
          const std::int64_t duration_micros =
              kLoanDuration.count * kMicrosPerMilli;
          events_.ScheduleAfter(duration_micros, [this, entry, lender, loans] {
            Router(entry).EndLoans(loans, /*lent=*/false);
            Router(lender).EndLoans(loans, /*lent=*/true);
            Dispatch(lender);
          });
        });
  }

  const RequestScenario scenario_;
  Random random_;
  EventQueue events_;
  bool partitions_slots_ = false;
  int slots_per_executor_ = kSlotsPerTarget;
  std::vector<Executor> executors_;
  std::vector<std::unique_ptr<ServiceRouter>> routers_;
  std::map<Ticket, PendingRequest> pending_;
  Ticket last_ticket_ = 0;
  RequestTally tally_{{kWarmUpMicros, kEndMicros, kDeadlineMicros,
                       kFinalWindowMicros, kCallerTimeoutMicros}};
  int entries_up_ = kEntries;
};

}  // namespace

RequestResults RunRequestScenario(const RequestScenario& scenario) {
  return RequestSimulation(scenario).Run();
}

}  // namespace basilspur::bench
