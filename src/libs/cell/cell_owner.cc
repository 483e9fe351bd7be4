#include "cell/cell_owner.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

#include "base/logging.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// Run numbers of a term start this much above those of the previous term. By
/// its number a new owner recognizes a run that an earlier one started and
/// could not record, so no task may be started that often in a term. A start
/// that is refused takes a number, too, and is tried again within half a
/// second.
static constexpr int kRunNumbersPerTerm = 10'000;
static constexpr Millis kDrainPollInterval(5);

CellOwner::CellOwner(net::asio::io_context& context, Store& store,
                     VmClient& vms, const Clock& clock,
                     CellOwnerSettings settings, Ownership ownership,
                     Callbacks callbacks, Standing standing)
    : context_(context),
      store_(store),
      vm_client_(vms),
      clock_(clock),
      settings_(settings),
      ownership_(ownership),
      callbacks_(std::move(callbacks)),
      standing_(std::move(standing)),
      scheduler_(settings.scheduler),
      journal_{"keyed.jobs", ownership.cell},
      batch_pending_(context),
      batch_durable_(context),
      plan_timer_(context) {}

void CellOwner::Stop() {
  if (stopped_) return;
  LogRunEvents();
  stopped_ = true;
  ready_ = false;
  batch_pending_.NotifyAll();
  batch_durable_.NotifyAll();
  // The next owner needs the connections that the VMs take.
  for (const jobs::VmListing& vm : scheduler_.VmsToRenew())
    vm_client_.Disconnect(vm.address);
}

std::string CellOwner::LogFields() const {
  return " cell=" + std::to_string(ownership_.cell) +
         " token=" + std::to_string(ownership_.token);
}

void CellOwner::HandleFenced() {
  if (stopped_) return;
  kLog.Warning(
      "event=owner_fenced reason=\"a later owner holds the cell; stopping "
      "this ownership\"" +
      LogFields());
  Stop();
  standing_.on_ended();
}

bool CellOwner::CheckMayAct() {
  if (stopped_) return false;
  if (standing_.may_act()) return true;
  kLog.Warning(
      "event=owner_expired reason=\"the ownership was not confirmed in time; "
      "sending nothing more to VMs\"" +
      LogFields());
  Stop();
  standing_.on_ended();
  return false;
}

void CellOwner::ConfirmOwnership() {
  scheduler_.ConfirmOwnership(standing_.confirmed_at());
  scheduler_.OnOwnershipRenewed(standing_.renewed_at());
}

void CellOwner::Start() {
  net::Spawn(context_, TakeOver(), "take_over",
             [self = shared_from_this()] { self->HandleFailure(); });
}

void CellOwner::HandleFailure() {
  if (stopped_) return;
  kLog.Error(
      "event=owner_failed reason=\"unexpected error; ending this ownership, "
      "the next owner restores the cell\"" +
      LogFields());
  Stop();
  standing_.on_ended();
}

net::asio::awaitable<void> CellOwner::TakeOver() {
  const auto self = shared_from_this();
  const Millis started = Now();
  if (!co_await BeginEpoch()) co_return;
  if (!co_await ReadJournal()) co_return;
  for (const jobs::UnreachableVm& vm : ownership_.unreachable_vms)
    scheduler_.BoundLeaseExpiry(vm);
  for (const jobs::UnreachableVm& vm : ownership_.unreached_vms)
    scheduler_.BoundLeaseOfUnreachedVm(vm);
  ConfirmOwnership();
  const int first_run =
      static_cast<int>((ownership_.term - 1) * kRunNumbersPerTerm + 1);
  scheduler_.FinishRestore(first_run, Now());
  if (ownership_.journal_complete) scheduler_.MarkJournalComplete();
  if (ownership_.handed_over || predecessors_stopped_) OnPredecessorsStopped();
  ready_ = true;
  net::Spawn(context_, RunJournalWriter(), "journal_writer",
             [self] { self->HandleFailure(); });
  // Whether these VMs are still listed is for the platform's list to say.
  for (const jobs::VmListing& listing : scheduler_.VmsToRenew()) {
    if (renewing_vms_.insert(listing.id).second) StartRenewals(listing.id);
  }
  kLog.Info(
      "event=owner_ready" + LogFields() +
      " took_ms=" + std::to_string((Now() - started).count) +
      " jobs=" + std::to_string(scheduler_.ActiveJobs()) +
      " first_run=" + std::to_string(first_run) + " handed_over=" +
      std::to_string(ownership_.handed_over ? 1 : 0) + " journal_complete=" +
      std::to_string(ownership_.journal_complete ? 1 : 0) +
      " unreachable_vms=" + std::to_string(ownership_.unreachable_vms.size()));
  LogRestoredJobs();
  SchedulePlan();
}

void CellOwner::OnCatalog(const jobs::Catalog& catalog) {
  catalog_ = catalog;
  scheduler_.ApplyCatalog(catalog);
  SchedulePlan();
}

void CellOwner::OnClosures(const jobs::DataCenterClosures& closures) {
  scheduler_.ApplyClosures(closures);
  SchedulePlan();
}

void CellOwner::OnVmListed(const jobs::VmListing& listing) {
  const auto known = scheduler_.Listing(listing.id);
  if (listing.draining && !(known && known->draining)) {
    kLog.Info("event=vm_draining vm=" + listing.id + LogFields());
  }
  scheduler_.UpsertVm(listing, Now());
  if (!ready_ || draining_ || !renewing_vms_.insert(listing.id).second) return;
  StartRenewals(listing.id);
}

void CellOwner::StartRenewals(const std::string& id, Millis delay) {
  net::Spawn(context_, RunRenewals(id, delay), "vm_renewals",
             [self = shared_from_this(), id] {
               self->StartRenewals(id, self->settings_.renewal_retry_interval);
             });
}

std::vector<jobs::UnreachableVm> CellOwner::CollectUnreachableVms() {
  if (!ready_) return ownership_.unreachable_vms;
  return scheduler_.CollectUnreachableVms(Now());
}

std::vector<jobs::UnreachableVm> CellOwner::UnreachedVms() const {
  return ready_ ? scheduler_.UnreachedVms(Now()) : ownership_.unreached_vms;
}

void CellOwner::BoundSilentPredecessor() {
  if (predecessors_stopped_) return;
  if (predecessor_stops_by_) {
    if (Now() < *predecessor_stops_by_) return;
    predecessors_stopped_ = true;
    standing_.on_predecessors_stopped();
    return;
  }
  const std::optional<Millis> stops_by = scheduler_.PredecessorStopsBy();
  // Of several ones, an earlier one has judged by the VMs that the journal
  // listed before the later ones changed it.
  if (!stops_by || standing_.active_predecessors() > 1) return;
  predecessor_stops_by_ = std::max(*stops_by, Now());
  scheduler_.BoundInheritedLeases(*predecessor_stops_by_);
  kLog.Info("event=predecessor_fenced" + LogFields() + " stops_in_ms=" +
            std::to_string((*predecessor_stops_by_ - Now()).count));
}

void CellOwner::OnPredecessorsStopped() {
  predecessors_stopped_ = true;
  scheduler_.BoundInheritedLeases(Now());
  kLog.Info("event=predecessors_stopped" + LogFields());
}

void CellOwner::OnVmUnlisted(const std::string& id) { scheduler_.UnlistVm(id); }

void CellOwner::Tick() {
  // Lets waiting requests check their deadlines while no batch becomes durable.
  batch_durable_.NotifyAll();
  SchedulePlan();
  SyncDelegations();
  CheckHomes();
  if (ready_ && !draining_ &&
      Now() - last_moved_job_check_ >= settings_.moved_job_check_interval) {
    last_moved_job_check_ = Now();
    net::Spawn(context_, CheckMovedJob(shared_from_this()), "moved_job_check");
  }
  if (ready_) BoundSilentPredecessor();
  LogLongRunningWaits();
  if (Now() - last_run_log_ >= settings_.run_log_interval) LogRunEvents();
  if (!ready_ || Now() - last_summary_log_ < settings_.summary_log_interval)
    return;
  last_summary_log_ = Now();
  const jobs::CellSummary summary = scheduler_.Summary(Now());
  kLog.Info(
      "event=cell_state" + LogFields() +
      " jobs=" + std::to_string(summary.active_jobs) +
      " runs=" + std::to_string(summary.runs) +
      " waiting=" + std::to_string(summary.waiting_tasks) +
      " waiting_long_running=" + std::to_string(summary.waiting_long_running) +
      " waiting_best_effort=" + std::to_string(summary.waiting_best_effort) +
      " copies_started=" + std::to_string(summary.copies.started) +
      " copies_won=" + std::to_string(summary.copies.won) +
      " copies_lost=" + std::to_string(summary.copies.lost) +
      " copies_deferred=" + std::to_string(summary.copies.deferred) +
      " free_cpu_millis=" + std::to_string(summary.free_cpu_millis) +
      " unreachable_vms=" + std::to_string(summary.unreachable_vms) +
      " closed_vms=" + std::to_string(summary.closed_vms) +
      " late_useful=" + std::to_string(summary.late_useful_jobs) +
      " late_past_use=" + std::to_string(summary.late_past_use_jobs) +
      " oldest_wait_ms=" + std::to_string(summary.oldest_wait.count));
  kLog.Info("event=owner_turns" + LogFields() + turn_times_.TakeFields());
  LogOldestWaitingTask(/*best_effort=*/true);
  LogOldestWaitingTask(/*best_effort=*/false);
}

void CellOwner::RestoreTails(const jobs::TailRecord& record) {
  scheduler_.Tails().Restore(record);
}

void CellOwner::MergeTails(int cell, const jobs::TailRecord& record) {
  scheduler_.Tails().MergePeerRecord(std::to_string(cell), record);
}

CellLoad CellOwner::Load() const {
  if (!ready_) return {};
  const jobs::CellSummary summary = scheduler_.Summary(Now());
  CellLoad load;
  load.capacity_cpu_millis = summary.capacity_cpu_millis;
  load.charged_cpu_millis =
      summary.capacity_cpu_millis - summary.free_cpu_millis;
  load.waiting_cpu_millis = summary.waiting_cpu_millis;
  load.best_effort_cpu_millis = summary.best_effort_cpu_millis;
  load.largest_room = summary.largest_room;
  load.closed = summary.closed_vms > 0 && summary.capacity_cpu_millis == 0;
  load.rooms = summary.rooms;
  load.long_running_rooms = summary.long_running_rooms;
  load.label_rooms = summary.label_rooms;
  return load;
}

void CellOwner::EndTurn(OwnerTurn turn, Millis began,
                        const std::string& fields) {
  const Millis took = Now() - began;
  turn_times_.Add(turn, took);
  if (took < TurnTimes::kSlow) return;
  kLog.Warning("event=slow_turn turn=" + std::string(NameOf(turn)) +
               LogFields() + " took_ms=" + std::to_string(took.count) + fields +
               " reason=\"callers, leases and the ownership had to wait\"");
}

void CellOwner::SchedulePlan() {
  if (!ready_ || plan_scheduled_) return;
  plan_scheduled_ = true;
  // A scheduling pass covers all waiting tasks, so events that arrive before it
  // share one pass.
  const bool was_slow = last_plan_took_ >= TurnTimes::kSlow;
  const Millis interval =
      was_slow ? last_plan_took_ * 100 / settings_.max_plan_time_percent
               : settings_.min_plan_interval;
  const Millis due = last_plan_ + interval - Now();
  plan_timer_.ExpireAfter(std::max(due, Millis(0)));
  plan_timer_.AsyncWait([self = shared_from_this()](const net::error_code&) {
    self->plan_scheduled_ = false;
    self->last_plan_ = self->Now();
    self->RunPlan();
  });
}

bool CellOwner::CheckMayStart() {
  const bool reads_late = callbacks_.may_start && !callbacks_.may_start();
  const bool held = reads_late || !scheduler_.MayExtendLeases(Now());
  if (held == starts_held_) return !held;
  starts_held_ = held;
  const std::string fields =
      LogFields() +
      (callbacks_.knowledge_age ? callbacks_.knowledge_age() : "");
  if (reads_late) {
    kLog.Warning(
        "event=starts_held reason=\"the list of VMs or the operators' orders "
        "were read too long ago; tasks wait until they are read again\"" +
        fields);
  } else if (held) {
    kLog.Warning(
        "event=starts_held reason=\"the ownership was not renewed and less "
        "than half of the VMs answer; tasks wait and no lease is extended\"" +
        fields);
  } else {
    kLog.Info("event=starts_resumed" + fields);
    SchedulePlan();
  }
  return !held;
}

void CellOwner::RunPlan() {
  if (!ready_ || stopped_) return;
  ConfirmOwnership();
  scheduler_.HoldStarts(!CheckMayStart());
  if (!draining_) {
    const Millis began = Now();
    std::vector<jobs::RunCommand> commands =
        scheduler_.Plan(clock_.Wall().count, began);
    EndTurn(OwnerTurn::kPlan, began,
            " jobs=" + std::to_string(scheduler_.ActiveJobs()) +
                " vms=" + std::to_string(renewing_vms_.size()) +
                " commands=" + std::to_string(commands.size()));
    last_plan_took_ = Now() - began;
    outgoing_.insert(outgoing_.end(), std::make_move_iterator(commands.begin()),
                     std::make_move_iterator(commands.end()));
    if (!sending_outgoing_) SendOutgoing();
    if (scheduler_.HasMoreToPlan()) SchedulePlan();
  }
  LogVmLosses();
  LogCopies();
  LogPreemptions();
  NotifyJournalWriter();
}

void CellOwner::SendOutgoing() {
  sending_outgoing_ = false;
  if (stopped_) return;
  for (std::size_t sent = 0;
       sent < settings_.max_commands_per_turn && !outgoing_.empty(); ++sent) {
    const jobs::RunCommand command = std::move(outgoing_.front());
    outgoing_.pop_front();
    net::Spawn(context_, SendCommand(command), "run_command",
               [self = shared_from_this(), command] {
                 // It may have been carried out.
                 self->scheduler_.OnCommandOutcome(
                     command, jobs::RunCommandOutcome::kUnknown, 0, self->Now(),
                     self->Now());
               });
  }
  if (outgoing_.empty()) return;
  sending_outgoing_ = true;
  net::asio::post(context_,
                  [self = shared_from_this()] { self->SendOutgoing(); });
}

void CellOwner::NotifyJournalWriter() {
  const bool wanted =
      scheduler_.HasUrgentChanges() || (writer_idle_ && scheduler_.HasBatch());
  if (wanted) batch_pending_.NotifyAll();
}

net::asio::awaitable<bool> CellOwner::Drain(Millis timeout) {
  const auto self = shared_from_this();
  draining_ = true;
  // Nothing was started or accepted, so the journal is as it was taken over.
  if (!ready_) co_return !stopped_ && ownership_.journal_complete;
  batch_pending_.NotifyAll();
  const Millis deadline = Now() + timeout;
  while (!stopped_ && Now() < deadline) {
    if (!append_started_ && !scheduler_.HasBatch()) {
      co_return ready_&& scheduler_.HasCompleteRunState();
    }
    co_await net::Sleep(kDrainPollInterval);
  }
  co_return false;
}

}  // namespace basilspur::cell
