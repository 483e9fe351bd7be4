#include <utility>

#include "base/logging.h"
#include "cell/cell_owner.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");

void CellOwner::SyncDelegations() {
  if (!ready_ || draining_ || stopped_) return;
  int delegated = 0;
  for (const jobs::TaskRef& ref : scheduler_.TasksToDelegate(Now())) {
    if (delegated >= settings_.max_delegations_per_tick) break;
    const std::optional<int> host =
        callbacks_.choose_host(ownership_.cell, scheduler_.SpecOf(ref).Charge(),
                               scheduler_.CellToAvoid(ref, Now()));
    if (!host) continue;
    ++delegated;
    scheduler_.Delegate(ref, *host);
    kLog.Info(
        "event=task_delegated reason=\"no VM of this cell has room for it; "
        "another cell runs it\" job=" +
        ref.job + " task=" + ref.ToString() + LogFields() +
        " to=" + std::to_string(*host));
  }
  for (auto& [cell, delegation] : scheduler_.DelegationsToSend(Now())) {
    delegation.record.home_cell = ownership_.cell;
    net::Spawn(
        context_,
        SendDelegation(shared_from_this(), {cell, std::move(delegation)}),
        "delegation");
  }
  NotifyJournalWriter();
}

net::asio::awaitable<void> CellOwner::SendDelegation(
    [[maybe_unused]] std::shared_ptr<CellOwner> self,
    DelegationRequest request) {
  const int host = request.cell;
  const std::string job = request.delegation.job;
  const DelegationReply reply =
      co_await callbacks_.send_delegation(std::move(request));
  if (stopped_ || !reply.served) co_return;
  scheduler_.OnDelegationReport(job, host, reply.report, Now());
  for (const jobs::DelegatedTaskReport& row : reply.report.tasks) {
    if (row.state != jobs::DelegationState::kReturned) continue;
    kLog.Info("event=task_returned job=" + job +
              " task=" + row.RefIn(job).ToString() + LogFields() +
              " from=" + std::to_string(host) +
              " last_run=" + std::to_string(row.last_run));
  }
  SchedulePlan();
  NotifyJournalWriter();
}

DelegationReply CellOwner::HandleDelegation(
    const jobs::Delegation& delegation) {
  DelegationReply reply;
  if (!ready_ || draining_ || stopped_) return reply;
  reply.served = true;
  reply.report = scheduler_.Host(delegation, clock_.Wall().count);
  SchedulePlan();
  NotifyJournalWriter();
  return reply;
}

}  // namespace basilspur::cell
