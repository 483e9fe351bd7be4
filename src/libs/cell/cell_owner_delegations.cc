#include <algorithm>
#include <map>
#include <utility>

#include "base/logging.h"
#include "cell/cell_owner.h"
#include "cell/run_fields.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
static constexpr Millis kSilentHostLogInterval(1'000);

std::optional<int> CellOwner::ChooseHost(const HostChoice& choose_without_label,
                                         const jobs::TaskRef& ref,
                                         const records::Resources& need,
                                         int avoided) const {
  const std::string& label = scheduler_.SpecOf(ref).required_label;
  if (label.empty())
    return choose_without_label(ownership_.cell, need, avoided);
  if (!callbacks_.choose_host_with_label) return std::nullopt;
  return callbacks_.choose_host_with_label(ownership_.cell, need, label,
                                           avoided);
}

void CellOwner::SyncDelegations() {
  if (!ready_ || draining_ || stopped_) return;
  int delegated = 0;
  for (const jobs::TaskRef& ref : scheduler_.TasksToDelegate(Now())) {
    if (delegated >= settings_.max_delegations_per_tick) break;
    const std::optional<int> host =
        ChooseHost(callbacks_.choose_host, ref, scheduler_.SpecOf(ref).Charge(),
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
  DelegateShortTasks();
  DelegateGangs();
  SendDueDelegations();
  NotifyJournalWriter();
}

void CellOwner::DelegateShortTasks() {
  if (!callbacks_.has_room_elsewhere(ownership_.cell)) return;
  std::map<int, int> delegated;
  // Tasks with the same label that need as much have no host, either.
  std::map<std::string, records::Resources> without_host;
  for (const jobs::TaskRef& ref : scheduler_.ShortTasksToDelegate(Now())) {
    const records::Resources& need = scheduler_.SpecOf(ref).need;
    const std::string& label = scheduler_.SpecOf(ref).required_label;
    const auto known = without_host.find(label);
    if (known != without_host.end() && known->second.FitsIn(need)) continue;
    const int avoided = scheduler_.CellToAvoid(ref, Now());
    const std::optional<int> host =
        ChooseHost(callbacks_.choose_host_of_short_task, ref, need, avoided);
    if (!host) {
      if (avoided < 0) without_host[label] = need;
      continue;
    }
    scheduler_.Delegate(ref, *host);
    ++delegated[*host];
  }
  for (const auto& [host, tasks] : delegated) {
    kLog.Info(
        "event=short_tasks_delegated reason=\"no VM of this cell has room in "
        "time; another cell publishes room\"" +
        LogFields() + " to=" + std::to_string(host) +
        " tasks=" + std::to_string(tasks));
  }
}

void CellOwner::DelegateGangs() {
  const bool due = Now() - last_gang_check_ >= settings_.gang_check_interval;
  if (!due || !callbacks_.choose_host_of_gang) return;
  last_gang_check_ = Now();
  for (const jobs::TaskRef& ref : scheduler_.GangsToDelegate(Now())) {
    const std::optional<int> host = callbacks_.choose_host_of_gang(
        ownership_.cell, scheduler_.ServiceOf(ref.job), scheduler_.SpecOf(ref),
        scheduler_.CellToAvoid(ref, Now()));
    if (!host) continue;
    scheduler_.DelegateGang(ref, *host);
    kLog.Info(
        "event=gang_delegated reason=\"the VMs of this cell can't hold it; "
        "those of another cell can\" job=" +
        ref.job + " first_task=" + ref.ToString() + LogFields() +
        " to=" + std::to_string(*host) +
        " tasks=" + std::to_string(scheduler_.SpecOf(ref).count));
  }
}

void CellOwner::SendDueDelegations() {
  if (!ready_ || draining_ || stopped_) return;
  auto due = scheduler_.DelegationsToSend(Now());
  // A host that has forgotten a task would start it on word of a former owner.
  if (due.empty() || !CheckMayAct()) return;
  for (auto& [cell, delegation] : due) {
    delegation.record.home_cell = ownership_.cell;
    delegation.unserved_ms = host_contacts_.SilenceOf(cell, Now()).count;
    host_contacts_.OnSent(cell, Now());
    net::Spawn(
        context_,
        SendDelegation(shared_from_this(), {cell, std::move(delegation)}),
        "delegation");
  }
}

net::asio::awaitable<void> CellOwner::SendDelegation(
    [[maybe_unused]] std::shared_ptr<CellOwner> self,
    DelegationRequest request) {
  const int host = request.cell;
  const std::string job = request.delegation.job;
  const bool recalls = std::any_of(
      request.delegation.tasks.begin(), request.delegation.tasks.end(),
      [](const jobs::DelegatedTask& task) { return task.recalled; });
  const DelegationReply reply =
      co_await callbacks_.send_delegation(std::move(request));
  // The host repeats its report to the next owner.
  if (stopped_ || draining_) co_return;
  if (!reply.served) {
    LogSilentHost(host, job, recalls);
    co_return;
  }
  host_contacts_.OnServed(host);
  scheduler_.OnDelegationReport(job, host, reply.report, Now());
  for (const jobs::DelegatedTaskReport& row : reply.report.tasks) {
    if (row.state != jobs::DelegationState::kReturned) continue;
    kLog.Info("event=task_returned job=" + job +
              " task=" + row.RefIn(job).ToString() + LogFields() +
              " from=" + std::to_string(host) +
              " last_run=" + std::to_string(row.last_run) +
              " done=" + std::to_string(row.done ? 1 : 0) +
              " failures=" + std::to_string(row.failures));
  }
  SchedulePlan();
  SendDueDelegations();
  NotifyJournalWriter();
}

void CellOwner::LogSilentHost(int host, const std::string& job, bool recalls) {
  if (!host_contacts_.ShouldLog(host, kSilentHostLogInterval, Now())) return;
  kLog.Info(
      "event=host_silent reason=\"its owner has served no delegation; they are "
      "sent again\"" +
      LogFields() + " host=" + std::to_string(host) + " silent_ms=" +
      std::to_string(host_contacts_.SilenceOf(host, Now()).count) +
      " job=" + job + " recalls=" + std::to_string(recalls ? 1 : 0));
}

void CellOwner::LogRecall(const jobs::Delegation& delegation,
                          int recalls) const {
  kLog.Info("event=tasks_recalled_by_home job=" + delegation.job + LogFields() +
            " home=" + std::to_string(delegation.record.home_cell) +
            " tasks=" + std::to_string(recalls) +
            RunFields(scheduler_.RunsOf(delegation.job)));
}

net::asio::awaitable<DelegationReply> CellOwner::HandleDelegation(
    jobs::Delegation delegation) {
  const auto self = shared_from_this();
  home_contacts_.OnDelegation(delegation.record.home_cell,
                              Millis(delegation.unserved_ms), Now());
  const Millis hold = std::min(Millis(delegation.wait_ms),
                               settings_.scheduler.max_delegation_hold);
  const Millis deadline = Now() + hold;
  for (;;) {
    if (!ready_ || draining_ || stopped_) co_return DelegationReply();
    DelegationReply reply;
    reply.served = true;
    reply.report = scheduler_.Host(delegation, clock_.Wall().count, Now());
    if (reply.report.recalls > 0) LogRecall(delegation, reply.report.recalls);
    NotifyJournalWriter();
    if (reply.report.HasNews() || Now() >= deadline) {
      SchedulePlan();
      co_return reply;
    }
    co_await batch_durable_.Wait();
  }
}

}  // namespace basilspur::cell
