#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
static constexpr Millis kDurableEndsTimeout(300);
/// More than an owner sees workers of VMs. Products with offsets of the store's
/// log stay below 2^53, so that each JSON parser reads them.
static constexpr std::int64_t kFencingTokensPerOwner = 1'000'000;
/// A VM with ends that are not acknowledged answers each renewal at once.
static constexpr Millis kDrainingRenewalInterval(300);

std::int64_t CellOwner::FencingTokenFor(const std::string& vm) const {
  return ownership_.token * kFencingTokensPerOwner +
         std::min(scheduler_.WorkerGeneration(vm), kFencingTokensPerOwner - 1);
}

bool CellOwner::IsWithdrawn(const jobs::RunCommand& command) {
  if (command.kind != jobs::RunCommandKind::kStart) return false;
  if (CheckMayStart() && scheduler_.MaySendStart(command.vm)) return false;
  kLog.Info(
      "event=start_not_sent reason=\"since the start was planned, the VM "
      "began to leave or started again, its data center was closed or starts "
      "were held back; the task waits\" task=" +
      command.task.ToString() + " run=" + std::to_string(command.run) +
      " vm=" + command.vm);
  return true;
}

net::asio::awaitable<void> CellOwner::SendCommand(jobs::RunCommand command) {
  const auto self = shared_from_this();
  const std::optional<jobs::VmListing> vm = scheduler_.Listing(command.vm);
  // The owner may have been frozen since the command was planned.
  if (!vm || !CheckMayAct()) co_return;
  const Millis sent = Now();
  if (IsWithdrawn(command)) {
    scheduler_.OnCommandOutcome(command, jobs::RunCommandOutcome::kNotSent, 0,
                                sent, sent);
    co_return;
  }
  const std::int64_t deadline = scheduler_.NextDeadline(command.vm, sent);
  if (command.kind == jobs::RunCommandKind::kStart && deadline == 0) {
    // The VM became unreachable after the start was planned.
    scheduler_.OnCommandOutcome(command, jobs::RunCommandOutcome::kRefused, 0,
                                sent, sent);
    co_return;
  }
  const CommandContext context{FencingTokenFor(command.vm), deadline,
                               scheduler_.WorkerOf(command.vm)};
  CommandAnswer answer = co_await vm_client_.Send(*vm, command, context);
  if (stopped_) co_return;
  if (answer.outcome == jobs::RunCommandOutcome::kStaleToken) {
    if (context.fencing_token == FencingTokenFor(command.vm)) {
      HandleFenced();
      co_return;
    }
    // Meant for a former worker, and rejected by the present one.
    answer.outcome = jobs::RunCommandOutcome::kNotSent;
  }
  scheduler_.OnCommandOutcome(command, answer.outcome, answer.clock_ms, sent,
                              Now());
  LogCommand(command, answer.outcome, Now() - sent);
  if (answer.outcome != jobs::RunCommandOutcome::kDone) SchedulePlan();
}

static const char* NameOf(jobs::RunCommandKind kind) {
  switch (kind) {
    case jobs::RunCommandKind::kStart:
      return "start";
    case jobs::RunCommandKind::kStop:
      return "stop";
    case jobs::RunCommandKind::kPace:
      return "pace";
  }
  return "";
}

void CellOwner::LogCommand(const jobs::RunCommand& command,
                           jobs::RunCommandOutcome outcome, Millis took) const {
  const bool confirmed = outcome == jobs::RunCommandOutcome::kDone;
  if (confirmed && command.kind != jobs::RunCommandKind::kStop) return;
  kLog.Info(std::string("event=run_command_") +
            (confirmed ? "confirmed" : "not_confirmed") + " command=" +
            NameOf(command.kind) + " task=" + command.task.ToString() +
            " run=" + std::to_string(command.run) + " vm=" + command.vm +
            " outcome=" + std::to_string(static_cast<int>(outcome)) +
            " took_ms=" + std::to_string(took.count));
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

void CellOwner::LogRunEnds(const std::string& vm,
                           const jobs::VmReport& report) const {
  const std::int64_t known = scheduler_.NewestProcessedEnd(vm);
  for (const jobs::EndedRunReport& row : report.ended) {
    if (row.number <= known || row.end == jobs::RunEnd::kDone) continue;
    kLog.Info("event=run_ended job=" + row.task.job + " task=" +
              row.task.ToString() + " run=" + std::to_string(row.run) +
              " vm=" + vm + " result=" + NameOf(row.end) +
              " end_number=" + std::to_string(row.number));
  }
}

Millis CellOwner::RenewalWait(const std::string& vm) const {
  const bool overdue =
      Now() - standing_.renewed_at() >= settings_.overdue_renewal_age;
  const Millis wait = RenewalWaitFor(scheduler_.LoadOf(vm));
  return overdue ? std::min(wait, settings_.overdue_renewal_wait) : wait;
}

Millis CellOwner::RenewalWaitFor(jobs::VmLoad load) const {
  switch (load) {
    case jobs::VmLoad::kIdle:
      return settings_.idle_renewal_wait;
    case jobs::VmLoad::kBusy:
      return settings_.busy_renewal_wait;
    case jobs::VmLoad::kMixed:
      return settings_.mixed_renewal_wait;
  }
  return settings_.busy_renewal_wait;
}

void CellOwner::LogWorkerStart(const std::string& vm,
                               const jobs::VmReport& report) const {
  const std::int64_t known_start = scheduler_.WorkerOf(vm).start_ms;
  if (known_start == 0 || report.worker_start_ms == known_start) return;
  const std::int64_t known_end = scheduler_.NewestProcessedEnd(vm);
  const auto skipped =
      std::count_if(report.ended.begin(), report.ended.end(),
                    [&](const auto& row) { return row.number <= known_end; });
  kLog.Info("event=worker_started vm=" + vm +
            " worker_start_ms=" + std::to_string(report.worker_start_ms) +
            " known_start_ms=" + std::to_string(known_start) +
            " clock_ms=" + std::to_string(report.clock_ms) +
            " known_end=" + std::to_string(known_end) +
            " ends=" + std::to_string(report.ended.size()) +
            " ends_up_to_known=" + std::to_string(skipped) +
            " runs=" + std::to_string(report.running.size()));
}

void CellOwner::LogFencedWorker(const std::string& vm) const {
  const Millis left = scheduler_.LatestLeaseExpiry(vm) - Now();
  kLog.Info("event=worker_fenced vm=" + vm +
            " token=" + std::to_string(FencingTokenFor(vm)) +
            " lease_left_ms=" + std::to_string(left.count) +
            " reason=\"the worker rejects calls for the former one from now "
            "on; runs start there once the journal tells of its lease\"");
}

static bool IsFailure(const RenewalAnswer& answer, RenewalFailure expected) {
  const auto* failure = std::get_if<RenewalFailure>(&answer);
  return failure && *failure == expected;
}

bool CellOwner::IsOfOtherWorker(const std::string& vm,
                                const RenewalAnswer& answer) const {
  const auto* report = std::get_if<jobs::VmReport>(&answer);
  return report && !scheduler_.WorkerOf(vm).Matches(report->worker_start_ms,
                                                    report->clock_ms);
}

net::asio::awaitable<bool> CellOwner::RenewOnce(const jobs::VmListing& vm) {
  if (!CheckMayAct()) co_return false;
  const Millis sent = Now();
  Renewal renewal;
  renewal.fencing_token = FencingTokenFor(vm.id);
  renewal.deadline_ms = scheduler_.NextDeadline(vm.id, sent);
  renewal.acknowledged_end = scheduler_.EndToAcknowledge(vm.id);
  renewal.max_wait = RenewalWait(vm.id);
  if (renewal.deadline_ms == 0 || !scheduler_.IsFenced(vm.id))
    renewal.max_wait = Millis(0);
  const RenewalAnswer answer = co_await vm_client_.Renew(vm, renewal);
  if (stopped_) co_return false;
  if (draining_ && !IsFailure(answer, RenewalFailure::kStaleToken)) {
    // The next owner can't see which runs may have crashed the VM. A worker
    // that has started again gets no lease meant for the former one.
    if (IsFailure(answer, RenewalFailure::kDisconnected) ||
        IsOfOtherWorker(vm.id, answer)) {
      HandleOutage(vm.id, jobs::VmOutage::kDisconnected);
      NotifyJournalWriter();
    }
    // Its ends stay unacknowledged, so the VM reports them to the next owner.
    co_await net::Sleep(kDrainingRenewalInterval);
    co_return true;
  }
  if (const auto* report = std::get_if<jobs::VmReport>(&answer)) {
    LogWorkerStart(vm.id, *report);
    LogRunEnds(vm.id, *report);
    const bool was_fenced = scheduler_.IsFenced(vm.id);
    const Millis received = Now();
    scheduler_.OnReport(vm.id, *report, sent, received);
    EndTurn(OwnerTurn::kReport, received,
            " vm=" + vm.id + " runs=" + std::to_string(report->running.size()) +
                " ends=" + std::to_string(report->ended.size()));
    if (!was_fenced && scheduler_.IsFenced(vm.id)) LogFencedWorker(vm.id);
    SchedulePlan();
    co_return true;
  }
  switch (std::get<RenewalFailure>(answer)) {
    case RenewalFailure::kStaleToken:
      HandleFenced();
      co_return false;
    case RenewalFailure::kRestarted:
      if (scheduler_.OnVmRestarted(vm.id, sent, Now())) {
        kLog.Info(
            "event=vm_restarted reason=\"the VM answered as another "
            "incarnation; releasing its runs\" vm=" +
            vm.id);
        SchedulePlan();
        co_return false;
      }
      kLog.Info(
          "event=vm_answered_by_other reason=\"another incarnation answered at "
          "an address where the VM is not known to have been; its runs are "
          "kept until its lease expires\" vm=" +
          vm.id + " address=" + vm.address);
      break;
    case RenewalFailure::kDisconnected:
      HandleOutage(vm.id, jobs::VmOutage::kDisconnected);
      break;
    case RenewalFailure::kNoAnswer:
      HandleOutage(vm.id, jobs::VmOutage::kSilent);
      break;
  }
  co_await net::Sleep(settings_.renewal_retry_interval);
  co_return true;
}

static const char* NameOf(jobs::VmOutage outage) {
  return outage == jobs::VmOutage::kDisconnected ? "disconnected" : "silent";
}

void CellOwner::HandleOutage(const std::string& vm, jobs::VmOutage outage) {
  scheduler_.OnVmUnreachable(vm, outage, Now());
  kLog.Info(
      "event=vm_unreachable reason=\"lease renewal not answered; "
      "retrying\" vm=" +
      vm + " outage=" + NameOf(outage));
}

/// Returns the run whose start was confirmed last; null if all runs are of
/// earlier owners.
static const jobs::LostRun* NewestOf(const jobs::VmLoss& loss) {
  const jobs::LostRun* newest = nullptr;
  for (const jobs::LostRun& run : loss.runs) {
    if (!run.age) continue;
    if (!newest || *run.age < *newest->age) newest = &run;
  }
  return newest;
}

void CellOwner::LogVmLosses() {
  for (const jobs::VmLoss& loss : scheduler_.TakeVmLosses()) {
    const bool restarted = loss.cause == jobs::VmLossCause::kRestarted;
    std::string newest;
    if (const jobs::LostRun* run = NewestOf(loss)) {
      newest = " newest_task=" + run->task.ToString() +
               " newest_run=" + std::to_string(run->run) +
               " newest_age_ms=" + std::to_string(run->age->count);
    }
    kLog.Info("event=vm_runs_lost vm=" + loss.vm +
              " cause=" + (restarted ? "restarted" : "lease_expired") +
              " outage=" + (loss.outage ? NameOf(*loss.outage) : "none") +
              " runs=" + std::to_string(loss.runs.size()) + newest);
    for (const jobs::CrashSuspect& suspect : loss.suspects) {
      kLog.Info("event=task_suspected job=" + suspect.task.job +
                " task=" + suspect.task.ToString() + " vm=" + loss.vm +
                " crashes=" + std::to_string(suspect.crashes));
    }
  }
}

net::asio::awaitable<void> CellOwner::RunRenewals(std::string id,
                                                  Millis delay) {
  const auto self = shared_from_this();
  if (delay > Millis(0)) co_await net::Sleep(delay);
  while (!stopped_) {
    const std::optional<jobs::VmListing> vm = scheduler_.Listing(id);
    if (!vm || !co_await RenewOnce(*vm)) break;
    co_await WaitForDurableEnds(id);
  }
  renewing_vms_.erase(id);
}

net::asio::awaitable<void> CellOwner::WaitForDurableEnds(std::string id) {
  // The VM answers a renewal at once while reported ends are unacknowledged, so
  // a renewal before the journal holds them would only repeat the last report.
  if (scheduler_.HasHeldEnds(id)) {
    // No batch may follow, and the lease has to be renewed meanwhile.
    co_await net::Sleep(kDurableEndsTimeout);
    co_return;
  }
  const Millis deadline = Now() + kDurableEndsTimeout;
  while (!stopped_ && Now() < deadline && scheduler_.HasNonDurableEnds(id)) {
    if (append_started_ &&
        Now() - *append_started_ > settings_.store_stall_timeout) {
      co_await net::Sleep(kDurableEndsTimeout);
      co_return;
    }
    co_await batch_durable_.Wait();
  }
}

}  // namespace basilspur::cell
