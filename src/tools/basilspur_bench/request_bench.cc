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
static constexpr int kSlots = 8;
static constexpr std::int64_t kMicrosPerMilli = 1'000;
static constexpr std::int64_t kMeanServiceMicros = 50 * kMicrosPerMilli;
static constexpr std::int64_t kDeadlineMicros = 1'000 * kMicrosPerMilli;
static constexpr std::int64_t kHopMicros = 1 * kMicrosPerMilli;
static constexpr std::int64_t kWarmUpMicros = 5'000 * kMicrosPerMilli;
static constexpr std::int64_t kEndMicros = 35'000 * kMicrosPerMilli;
static constexpr std::int64_t kMarketStepMicros = 5 * kMicrosPerMilli;
static constexpr std::int64_t kHalfTimeMicros = 15'000 * kMicrosPerMilli;
static constexpr std::int64_t kSpikeMicros = 5'000 * kMicrosPerMilli;
static constexpr std::int64_t kFlapMicros = 2'000 * kMicrosPerMilli;
static constexpr std::int64_t kHeardWindowMicros = 1'500 * kMicrosPerMilli;
static constexpr std::int64_t kLastWindowMicros = 10'000 * kMicrosPerMilli;
/// From the first sending, over all sendings.
static constexpr std::int64_t kPatienceOfCallersMicros =
    2'000 * kMicrosPerMilli;
static constexpr int kMaxSendings = 3;
static constexpr Millis kLoanDuration(1'000);
static constexpr std::int64_t kQueueLimit = 256;
/// Without limits of its own a policy sends everything on at once.
static constexpr std::int64_t kUnlimited = 1'000'000;

namespace {

struct Pending {
  std::int64_t arrived = 0;
  std::int64_t first_arrived = 0;  ///< Of the first sending.
  int sendings = 1;
  std::int64_t granted = 0;
  std::int64_t service_micros = 0;
  int entry = 0;
  int attempts = 0;
};

/// An executor: a number of slots and a queue of its own.
struct Executor {
  int busy = 0;
  std::deque<Ticket> queue;
  double slow_factor = 1;
  bool dead = false;
  bool silent = false;
};

class RequestRun {
 public:
  explicit RequestRun(const RequestScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    const bool ideal = scenario_.policy == "ideal";
    owns_slots_ = scenario_.policy == "basilspur";
    const int executors = ideal ? 1 : scenario_.targets;
    executors_.resize(static_cast<std::size_t>(executors));
    executor_slots_ = ideal ? kSlots * scenario_.targets : kSlots;
    if (!ideal) {
      executors_[0].slow_factor = scenario_.slow_factor;
      executors_[0].dead = scenario_.dead_target;
      executors_[0].silent = scenario_.silent_target;
    }
    const std::string picker =
        owns_slots_ || ideal ? "least-expected-delay" : scenario_.policy;
    for (int i = 0; i < kEntries; ++i) {
      routers_.push_back(
          std::make_unique<ServiceRouter>(routing::MakeTargetPicker(picker)));
      routers_.back()->SetTargets(Shares(i),
                                  owns_slots_ ? kQueueLimit : kUnlimited);
    }
  }

  RequestFigures Run() {
    ScheduleArrival();
    if (owns_slots_) events_.After(kMarketStepMicros, [this] { StepMarket(); });
    if (scenario_.flapping_target && executors_.size() > 1) Flap();
    if (scenario_.lost_entry)
      events_.At(kHalfTimeMicros, [this] { LoseEntry(); });
    events_.RunUntil(kEndMicros);
    const double window_micros = kEndMicros - kWarmUpMicros;
    return tally_.Figures(window_micros * kSlots * scenario_.targets /
                          static_cast<double>(kMeanServiceMicros));
  }

 private:
  Millis NowMillis() const { return Millis(events_.Now() / kMicrosPerMilli); }

  void Flap() {
    executors_[0].dead = !executors_[0].dead;
    events_.After(kFlapMicros, [this] { Flap(); });
  }

  /// The balancer sends no more to the last entry; the others take its slots
  /// once they have missed its heartbeats.
  void LoseEntry() {
    entries_up_ = kEntries - 1;
    std::erase_if(pending_, [this](const auto& item) {
      const bool is_lost = item.second.entry >= entries_up_;
      if (is_lost) tally_.Fail(events_.Now());
      return is_lost;
    });
    events_.After(kHeardWindowMicros, [this] {
      for (int i = 0; i < entries_up_; ++i) {
        Router(i).SetTargets(Shares(i), owns_slots_ ? kQueueLimit : kUnlimited);
        Dispatch(i);
      }
    });
  }

  std::vector<routing::TargetShare> Shares(int entry) const {
    const std::vector<std::int64_t> slots(executors_.size(),
                                          routing::WithPipelining(kSlots));
    const auto owned =
        routing::PartitionSlots(slots, static_cast<std::size_t>(entry),
                                static_cast<std::size_t>(entries_up_), 0);
    std::vector<routing::TargetShare> shares;
    for (std::size_t i = 0; i < executors_.size(); ++i) {
      shares.push_back({"t" + std::to_string(i), "dc",
                        owns_slots_ ? owned[i] : kUnlimited, false});
    }
    return shares;
  }

  double Exponential(double mean) {
    return -mean * std::log(1 - random_.NextDouble());
  }

  void ScheduleArrival() {
    const double capacity_per_micro =
        static_cast<double>(kSlots * scenario_.targets) / kMeanServiceMicros;
    const bool in_spike = events_.Now() >= kHalfTimeMicros &&
                          events_.Now() < kHalfTimeMicros + kSpikeMicros;
    const double load = scenario_.load * (in_spike ? scenario_.spike : 1);
    const double gap = Exponential(1 / (capacity_per_micro * load));
    events_.After(static_cast<std::int64_t>(gap), [this] {
      Pending pending;
      pending.first_arrived = events_.Now();
      tally_.Offer(pending.first_arrived);
      Arrive(pending);
      ScheduleArrival();
    });
  }

  void Arrive(Pending pending) {
    pending.arrived = events_.Now();
    pending.service_micros =
        static_cast<std::int64_t>(Exponential(kMeanServiceMicros));
    const bool to_first = random_.Chance(scenario_.share_of_first_entry);
    pending.entry = to_first ? 0
                             : static_cast<int>(random_.Below(
                                   static_cast<std::uint64_t>(entries_up_)));
    const Ticket ticket = ++last_ticket_;
    pending_[ticket] = pending;
    if (scenario_.callers_resend) {
      events_.After(kDeadlineMicros, [this, ticket] {
        const auto found = pending_.find(ticket);
        if (found != pending_.end()) Resend(found->second, 0);
      });
    }
    Admit(ticket, "");
  }

  /// The caller sends again; what became of the last sending is not known.
  void Resend(Pending pending, std::int64_t after_micros) {
    if (!scenario_.callers_resend || pending.sendings >= kMaxSendings) return;
    Pending next;
    next.first_arrived = pending.first_arrived;
    next.sendings = pending.sendings + 1;
    events_.After(after_micros, [this, next] { Arrive(next); });
  }

  void Admit(Ticket ticket, const std::string& avoided_target) {
    const Pending& pending = pending_.at(ticket);
    routing::Request request;
    request.ticket = ticket;
    request.avoided_target = avoided_target;
    request.arrived = Millis(pending.arrived / kMicrosPerMilli);
    request.deadline =
        Millis((pending.arrived + kDeadlineMicros) / kMicrosPerMilli);
    const auto admission =
        Router(pending.entry).Admit(request, NowMillis(), random_);
    if (const auto* grant = std::get_if<Grant>(&admission)) Start(*grant);
    if (const auto* refusal = std::get_if<Refusal>(&admission)) {
      Refuse(*refusal);
    }
    Dispatch(pending.entry);
  }

  ServiceRouter& Router(int entry) {
    return *routers_[static_cast<std::size_t>(entry)];
  }

  void Dispatch(int entry) {
    for (const auto& decision :
         Router(entry).TakeDecisions(NowMillis(), random_)) {
      if (const auto* grant = std::get_if<Grant>(&decision)) Start(*grant);
      if (const auto* refusal = std::get_if<Refusal>(&decision)) {
        Refuse(*refusal);
      }
    }
  }

  void Refuse(const Refusal& refusal) {
    const auto found = pending_.find(refusal.ticket);
    if (found == pending_.end()) return;
    tally_.Refuse(events_.Now());
    const Pending pending = found->second;
    pending_.erase(found);
    Resend(pending, refusal.retry_after.count * kMicrosPerMilli);
  }

  void Start(const Grant& grant) {
    Pending& pending = pending_.at(grant.ticket);
    pending.granted = events_.Now();
    const auto index =
        static_cast<std::size_t>(std::stoi(grant.target.substr(1)));
    WatchForSilence(grant.ticket, index, pending);
    events_.After(kHopMicros, [this, ticket = grant.ticket, index] {
      Executor& executor = executors_[index];
      if (executor.dead) {
        EndAttempt(ticket, index, AttemptOutcome::kNotConnected);
        return;
      }
      if (executor.silent) return;
      executor.queue.push_back(ticket);
      ServeNext(index);
    });
  }

  /// All requests are idempotent here. At the deadline a silent attempt ends.
  void WatchForSilence(Ticket ticket, std::size_t index,
                       const Pending& pending) {
    if (!executors_[index].silent) return;
    const std::int64_t deadline = pending.arrived + kDeadlineMicros;
    const Millis patience = Router(pending.entry).AttemptTimeout();
    const bool may_hedge = owns_slots_ && patience.count > 0;
    const std::int64_t give_up =
        may_hedge ? pending.granted + patience.count * kMicrosPerMilli
                  : deadline;
    events_.At(std::min(give_up, deadline), [this, ticket, index] {
      if (!pending_.contains(ticket)) return;
      EndAttempt(ticket, index, AttemptOutcome::kSilent);
    });
  }

  void ServeNext(std::size_t index) {
    Executor& executor = executors_[index];
    while (executor.busy < executor_slots_ && !executor.queue.empty()) {
      const Ticket ticket = executor.queue.front();
      executor.queue.pop_front();
      if (!pending_.contains(ticket)) continue;
      ++executor.busy;
      const auto micros = static_cast<std::int64_t>(
          static_cast<double>(pending_.at(ticket).service_micros) *
          executor.slow_factor);
      events_.After(micros, [this, ticket, index] {
        --executors_[index].busy;
        ServeNext(index);
        events_.After(kHopMicros, [this, ticket, index] {
          EndAttempt(ticket, index, AttemptOutcome::kAnswered);
        });
      });
    }
  }

  void EndAttempt(Ticket ticket, std::size_t index, AttemptOutcome outcome) {
    const auto found = pending_.find(ticket);
    if (found == pending_.end()) return;
    Pending& pending = found->second;
    const std::string target = "t" + std::to_string(index);
    const Millis latency((events_.Now() - pending.granted) / kMicrosPerMilli);
    const int entry = pending.entry;
    Router(entry).Release(target, outcome, latency, NowMillis());
    constexpr int kMaxAttempts = 4;
    if (outcome != AttemptOutcome::kAnswered &&
        ++pending.attempts < kMaxAttempts && Router(entry).TryTakeRetry()) {
      Admit(ticket, target);
    } else {
      CountEnd(pending, outcome);
      pending_.erase(ticket);
    }
    Dispatch(entry);
  }

  void CountEnd(const Pending& pending, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome::kAnswered) {
      tally_.Answer(events_.Now(), pending.arrived, pending.first_arrived);
    } else {
      tally_.Fail(events_.Now());
    }
  }

  /// Lending as between entries, with a hop each way.
  void StepMarket() {
    for (int entry = 0; entry < kEntries; ++entry) {
      const auto queued = static_cast<std::int64_t>(Router(entry).QueueSize());
      if (queued > 0) Borrow(entry, queued);
      Dispatch(entry);
    }
    events_.After(kMarketStepMicros, [this] { StepMarket(); });
  }

  void Borrow(int entry, std::int64_t wanted) {
    int best = entry;
    std::int64_t most_free = 0;
    for (int peer = 0; peer < kEntries; ++peer) {
      const std::int64_t free = Router(peer).FreeSlots(NowMillis());
      if (peer == entry || free <= most_free) continue;
      best = peer;
      most_free = free;
    }
    if (best == entry) return;
    events_.After(2 * kHopMicros, [this, entry, best, wanted] {
      const auto loans = Router(best).Lend(wanted, NowMillis());
      if (loans.empty()) return;
      Router(entry).Borrow(loans);
      Dispatch(entry);
      const std::int64_t micros = kLoanDuration.count * kMicrosPerMilli;
      events_.After(micros, [this, entry, best, loans] {
        Router(entry).EndLoans(loans, /*lent=*/false);
        Router(best).EndLoans(loans, /*lent=*/true);
        Dispatch(best);
      });
    });
  }

  const RequestScenario scenario_;
  Random random_;
  EventQueue events_;
  bool owns_slots_ = false;
  int executor_slots_ = kSlots;
  std::vector<Executor> executors_;
  std::vector<std::unique_ptr<ServiceRouter>> routers_;
  std::map<Ticket, Pending> pending_;
  Ticket last_ticket_ = 0;
  RequestTally tally_{{kWarmUpMicros, kEndMicros, kDeadlineMicros,
                       kLastWindowMicros, kPatienceOfCallersMicros}};
  int entries_up_ = kEntries;
};

}  // namespace

RequestFigures RunRequests(const RequestScenario& scenario) {
  return RequestRun(scenario).Run();
}

}  // namespace basilspur::bench
