#include "front/slot_loan_manager.h"

#include <algorithm>
#include <utility>

namespace basilspur::front {

/// Interval of load reports while the number of free slots changes.
static constexpr Millis kReportInterval(50);
/// Interval of load reports while the number of free slots stays the same.
static constexpr Millis kUnchangedReportInterval(500);
/// Time after which the free slots that a peer reported are no longer used.
static constexpr Millis kOfferTtl(1'000);
/// Minimum interval between two slot requests for a service.
static constexpr Millis kSlotRequestInterval(10);
static constexpr Millis kLoanDuration(1'000);
/// The borrower ends a loan earlier than the lender by this margin, which
/// allows for the time that the message may have taken.
static constexpr Millis kLoanMargin(100);

SlotLoanManager::SlotLoanManager(RequestRouter& router, const Clock& clock,
                                 Send send)
    : router_(router), clock_(clock), send_(std::move(send)) {}

void SlotLoanManager::OnMessage(const std::string& peer,
                                const link::Message& message) {
  if (const auto* report = std::get_if<link::LoadReport>(&message)) {
    for (const auto& load : report->services) {
      offers_[load.service][peer] = {load.free_slots, clock_.Monotonic()};
    }
  } else if (const auto* request = std::get_if<link::SlotRequest>(&message)) {
    link::SlotLoan loan{request->service, kLoanDuration.count, {}};
    loan.loans = router_.Lend(request->service, request->wanted, kLoanDuration);
    if (!loan.loans.empty()) send_(peer, loan);
  } else if (const auto* loan = std::get_if<link::SlotLoan>(&message)) {
    router_.Borrow(loan->service, loan->loans,
                   Millis(loan->duration_ms) - kLoanMargin);
  }
}

void SlotLoanManager::ReportAndBorrow() {
  const Millis now = clock_.Monotonic();
  const std::vector<link::ServiceLoad> loads = router_.Loads();
  ReportLoads(loads, now);
  for (const auto& load : loads) {
    if (load.queued > 0 && load.free_slots == 0) RequestSlots(load, now);
  }
}

static bool HaveSameFreeSlots(const std::vector<link::ServiceLoad>& a,
                              const std::vector<link::ServiceLoad>& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.service == y.service && x.free_slots == y.free_slots;
      });
}

void SlotLoanManager::ReportLoads(const std::vector<link::ServiceLoad>& loads,
                                  Millis now) {
  const Millis interval = HaveSameFreeSlots(loads, last_reported_loads_)
                              ? kUnchangedReportInterval
                              : kReportInterval;
  if (last_report_at_ + interval > now) return;
  last_report_at_ = now;
  last_reported_loads_ = loads;
  for (const auto& peer : peers_) send_(peer, link::LoadReport{loads});
}

void SlotLoanManager::RequestSlots(const link::ServiceLoad& load, Millis now) {
  Millis& requested_at = requested_at_[load.service];
  if (requested_at + kSlotRequestInterval > now) return;
  std::string best;
  std::int64_t most_free = 0;
  for (const auto& [peer, offer] : offers_[load.service]) {
    if (offer.at + kOfferTtl < now || offer.free_slots <= most_free) continue;
    if (std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) continue;
    best = peer;
    most_free = offer.free_slots;
  }
  if (best.empty()) return;
  requested_at = now;
  // These slots are not requested again before the peer's next report.
  Offer& offer = offers_[load.service][best];
  offer.free_slots = std::max<std::int64_t>(0, most_free - load.queued);
  send_(best, link::SlotRequest{load.service, load.queued});
}

}  // namespace basilspur::front
