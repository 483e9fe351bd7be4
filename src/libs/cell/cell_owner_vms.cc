#include <utility>

#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
static constexpr Millis kAcknowledgementWait(300);

net::asio::awaitable<void> CellOwner::SendOrder(jobs::Order order) {
  const auto self = shared_from_this();
  const std::optional<jobs::VmListing> vm = scheduler_.Listing(order.vm);
  if (!vm || stopped_) co_return;
  const Millis sent = Now();
  const std::int64_t deadline = scheduler_.NextDeadline(order.vm, sent);
  if (order.kind == jobs::OrderKind::kStart && deadline == 0) {
    // The VM has fallen silent since the decision.
    scheduler_.OnOrderOutcome(order, jobs::OrderOutcome::kRefused, 0, sent,
                              sent);
    co_return;
  }
  const OrderAnswer answer =
      co_await vm_client_.Send(*vm, order, ownership_.token, deadline);
  if (stopped_) co_return;
  if (answer.outcome == jobs::OrderOutcome::kStaleToken) {
    Depose();
    co_return;
  }
  scheduler_.OnOrderOutcome(order, answer.outcome, answer.clock_ms, sent,
                            Now());
  if (answer.outcome != jobs::OrderOutcome::kDone) {
    kLog.Info("event=order_not_done task=" + order.task.ToString() +
              " run=" + std::to_string(order.run) + " vm=" + order.vm +
              " outcome=" + std::to_string(static_cast<int>(answer.outcome)));
    Wake();
  }
}

static const char* NameOf(jobs::RunEnd end) {
  switch (end) {
    case jobs::RunEnd::kDone:
      return "done";
    case jobs::RunEnd::kFailed:
      return "failed";
    case jobs::RunEnd::kStopped:
      return "stopped";
    case jobs::RunEnd::kLapsed:
      return "lapsed";
    case jobs::RunEnd::kBroken:
      return "broken";
    case jobs::RunEnd::kAlone:
      return "alone";
  }
  return "";
}

void CellOwner::LogEnds(const std::string& vm,
                        const jobs::VmReport& report) const {
  const std::int64_t known = scheduler_.NewestEnd(vm);
  for (const jobs::EndedRunReport& row : report.ended) {
    if (row.number <= known || row.end == jobs::RunEnd::kDone) continue;
    kLog.Info("event=run_ended job=" + row.task.job +
              " task=" + row.task.ToString() +
              " run=" + std::to_string(row.run) + " vm=" + vm +
              " how=" + NameOf(row.end) + " end=" + std::to_string(row.number));
  }
}

Millis CellOwner::RenewalWait(const std::string& vm) const {
  switch (scheduler_.LoadOf(vm)) {
    case jobs::VmLoad::kIdle:
      return settings_.idle_wait;
    case jobs::VmLoad::kBusy:
      return settings_.busy_wait;
    case jobs::VmLoad::kMixed:
      return settings_.mixed_wait;
  }
  return settings_.busy_wait;
}

net::asio::awaitable<bool> CellOwner::RenewOnce(const jobs::VmListing& vm) {
  const Millis sent = Now();
  Renewal renewal;
  renewal.fencing_token = ownership_.token;
  renewal.deadline_ms = scheduler_.NextDeadline(vm.id, sent);
  renewal.acknowledged = scheduler_.AcknowledgedEnd(vm.id);
  renewal.wait = RenewalWait(vm.id);
  if (renewal.deadline_ms == 0) renewal.wait = Millis(0);
  const RenewalAnswer answer = co_await vm_client_.Renew(vm, renewal);
  if (stopped_) co_return false;
  if (const auto* report = std::get_if<jobs::VmReport>(&answer)) {
    LogEnds(vm.id, *report);
    scheduler_.OnReport(vm.id, *report, sent, Now());
    Wake();
    co_return true;
  }
  switch (std::get<RenewalFailure>(answer)) {
    case RenewalFailure::kStaleToken:
      Depose();
      co_return false;
    case RenewalFailure::kOtherLife:
      scheduler_.OnOtherLife(vm.id);
      kLog.Info("event=vm_restarted vm=" + vm.id);
      Wake();
      co_return false;
    case RenewalFailure::kNoAnswer:
      scheduler_.OnSilent(vm.id, Now());
      kLog.Info("event=vm_silent vm=" + vm.id);
      co_await net::Sleep(settings_.silent_pause);
      co_return true;
  }
  co_return true;
}

net::asio::awaitable<void> CellOwner::DriveVm(std::string id) {
  const auto self = shared_from_this();
  while (!stopped_) {
    const std::optional<jobs::VmListing> vm = scheduler_.Listing(id);
    if (!vm || !co_await RenewOnce(*vm)) break;
    co_await WaitForAcknowledgement(id);
  }
  driven_.erase(id);
}

net::asio::awaitable<void> CellOwner::WaitForAcknowledgement(std::string id) {
  // A renewal that acknowledges too little is answered at once, in vain.
  const Millis until = Now() + kAcknowledgementWait;
  while (!stopped_ && Now() < until && scheduler_.HasUnacknowledgedEnds(id)) {
    if (append_began_ && Now() - *append_began_ > settings_.store_stalled) {
      co_await net::Sleep(kAcknowledgementWait);
      co_return;
    }
    co_await flushed_.Wait();
  }
}

}  // namespace basilspur::cell
