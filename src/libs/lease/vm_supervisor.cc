#include "lease/vm_supervisor.h"

#include <algorithm>
#include <utility>

namespace basilspur::lease {

using infra::RunDirective;
using infra::RunReport;
using infra::RunStatus;
using infra::SyncReply;
using infra::SyncRequest;
using records::RecordBody;
using records::RunOutcome;
using records::RunRef;

/// A record is appended again if the view does not show its effect within this
/// time.
static constexpr Millis kRecordRetryInterval(5'000);

/// Recorded usage is rounded up to multiples of these steps, so that slowly
/// growing usage does not cause a record for each small change.
static constexpr std::int64_t kCpuStepMillis = 250;
static constexpr std::int64_t kMemoryStepMib = 256;

static std::int64_t RoundUp(std::int64_t amount, std::int64_t step) {
  return (amount + step - 1) / step * step;
}

static records::Resources RoundUp(const records::Resources& usage) {
  return {RoundUp(usage.cpu_millis, kCpuStepMillis),
          RoundUp(usage.memory_mib, kMemoryStepMib), usage.accelerators};
}

static RunOutcome OutcomeOf(RunStatus status) {
  switch (status) {
    case RunStatus::kFinished:
      return RunOutcome::kFinished;
    case RunStatus::kFailed:
      return RunOutcome::kFailed;
    case RunStatus::kRunning:
    case RunStatus::kStopped:
    case RunStatus::kUnknown:
      break;
  }
  return RunOutcome::kStopped;
}

VmSupervisor::VmSupervisor(const LeaseSettings& settings)
    : settings_(settings) {}

std::optional<SyncRequest> VmSupervisor::NextSync(const VmView& view,
                                                  Millis now, bool fresh) {
  // A changed version means that there were other renewers in between, which
  // may have renewed the lease even if they have been removed since.
  const bool changed = view.renewers_version != renewers_version_;
  if (!view.sole_renewer || changed) sole_renewer_since_.reset();
  if (view.sole_renewer && !sole_renewer_since_) sole_renewer_since_ = now;
  renewers_version_ = view.renewers_version;
  if (in_flight_ || !view.may_renew || view.stopping) return std::nullopt;
  if (view.standby) return NextStandbySync(view, now);
  if (!view.owned) return std::nullopt;
  if (MustSuspendRenewals(view, now)) {
    if (!renewals_suspended_since_) renewals_suspended_since_ = now;
    return std::nullopt;
  }
  renewals_suspended_since_.reset();
  const bool due = last_sent_ + settings_.renew_interval <= now;
  if (!due && !HasUnsentChanges(view, fresh)) return std::nullopt;
  SyncRequest request = MakeSync(view, fresh);
  const bool is_probe = failing_since_ || view.marked_unreachable;
  const bool is_empty =
      request.commands.empty() && request.recorded_ends.empty();
  if (is_empty && !is_probe) return std::nullopt;
  in_flight_ = true;
  last_sent_ = now;
  return request;
}

std::optional<SyncRequest> VmSupervisor::NextStandbySync(const VmView& view,
                                                         Millis now) {
  const bool released = released_version_ == view.renewers_version;
  const bool due = last_sent_ + settings_.renew_interval <= now;
  if (released || !due || !view.owner_unreachable || view.runs.empty()) {
    return std::nullopt;
  }
  SyncRequest request;
  request.lease_ms = settings_.length.count;
  for (const auto& run : view.runs) {
    request.commands.push_back({run.run, RunDirective::kRun, {}, ""});
  }
  in_flight_ = true;
  last_sent_ = now;
  return request;
}

bool VmSupervisor::IsUnreachable(Millis now) const {
  return failing_since_ && *failing_since_ + settings_.length <= now;
}

bool VmSupervisor::MustSuspendRenewals(const VmView& view, Millis now) const {
  // The lease can expire only if no renewals are sent. Without runs on the VM
  // no lease has to expire, so the worker is still probed.
  return IsUnreachable(now) && !view.runs.empty();
}

bool VmSupervisor::HasUnsentChanges(const VmView& view, bool fresh) const {
  // After a failure the next attempt waits for the renewal interval.
  if (failing_since_) return false;
  for (const auto& run : view.runs) {
    const auto sent = sent_stop_requests_.find(run.run);
    if (sent == sent_stop_requests_.end()) {
      if (fresh || reports_.contains(run.run)) return true;
      continue;
    }
    if (sent->second != run.stop_requested) return true;
  }
  return false;
}

SyncRequest VmSupervisor::MakeSync(const VmView& view, bool fresh) {
  SyncRequest request;
  request.lease_ms = settings_.length.count;
  std::map<RunRef, bool> sent;
  for (const auto& run : view.runs) {
    const bool started = reports_.contains(run.run);
    // After a pause of the process the view may be stale, so no run is started
    // from it.
    if (!started && !fresh) continue;
    sent[run.run] = run.stop_requested;
    RunDirective directive = RunDirective::kRun;
    if (run.throttled) directive = RunDirective::kThrottle;
    if (run.stop_requested) directive = RunDirective::kStop;
    if (started) {
      request.commands.push_back({run.run, directive, {}, ""});
    } else {
      request.commands.push_back({run.run, directive, run.job, run.checkpoint});
    }
  }
  sent_stop_requests_ = std::move(sent);
  // While another entry may still send a start command from an older view, the
  // worker has to keep its records of ended runs, to refuse to start them
  // again.
  if (view.sole_starter) {
    request.recorded_ends.assign(recorded_ends_to_send_.begin(),
                                 recorded_ends_to_send_.end());
    recorded_ends_in_flight_ = recorded_ends_to_send_;
  }
  return request;
}

void VmSupervisor::OnSyncDone(const Result<SyncReply>& reply, Millis now) {
  in_flight_ = false;
  last_completed_ = now;
  if (!IsOk(reply)) {
    if (!failing_since_) failing_since_ = now;
    recorded_ends_in_flight_.clear();
    return;
  }
  failing_since_.reset();
  for (const auto& run : recorded_ends_in_flight_)
    recorded_ends_to_send_.erase(run);
  recorded_ends_in_flight_.clear();
  for (const auto& report : ValueOf(reply).reports) {
    if (report.status == RunStatus::kUnknown) {
      // The worker does not have the run: the next command includes the job
      // again.
      reports_.erase(report.run);
      sent_stop_requests_.erase(report.run);
    } else {
      reports_[report.run] = report;
    }
  }
}

std::vector<RecordBody> VmSupervisor::NextRecords(const VmView& view,
                                                  Millis now) {
  std::vector<RecordBody> out;
  if (!view.owned || view.stopping) {
    // The standby keeps its right to renew unless the VM is unreachable. Then
    // it could not renew anything, and as a renewer it would only delay the
    // record that the lease expired.
    const bool standby_needed =
        view.standby && !view.stopping && !view.marked_unreachable;
    // An entry that was superseded or is stopping releases the VM, that is, it
    // sends no further messages. So none may still be in flight.
    if (!standby_needed && view.may_renew && !in_flight_ &&
        MarkRecordedIfDue({}, now)) {
      released_version_ = view.renewers_version;
      out.emplace_back(
          records::VmReleased{view.vm, view.stopping, view.renewers_version});
    }
    return out;
  }
  RecordEndsAndCheckpoints(view, now, out);
  RecordUsage(view, now, out);
  RecordReachability(view, now, out);
  RecordExpiredLeases(view, now, out);
  DropEndedRuns(view);
  return out;
}

void VmSupervisor::RecordEndsAndCheckpoints(const VmView& view, Millis now,
                                            std::vector<RecordBody>& out) {
  for (const auto& run : view.runs) {
    const auto found = reports_.find(run.run);
    if (found == reports_.end()) continue;
    const RunReport& report = found->second;
    if (report.status != RunStatus::kRunning) {
      if (!MarkRecordedIfDue(run.run, now)) continue;
      out.emplace_back(records::RunEnded{run.run, OutcomeOf(report.status),
                                         report.detail, report.checkpoint});
      continue;
    }
    const bool is_new =
        !report.checkpoint.empty() && report.checkpoint != run.checkpoint;
    if (is_new && MarkRecordedIfDue(run.run, now)) {
      out.emplace_back(records::RunCheckpointed{run.run, report.checkpoint});
    }
  }
}

void VmSupervisor::RecordUsage(const VmView& view, Millis now,
                               std::vector<RecordBody>& out) {
  for (const auto& run : view.runs) {
    const auto found = reports_.find(run.run);
    if (found == reports_.end()) continue;
    // The charge for a run is capped at the capacity of the VM.
    const records::Resources capped_usage =
        found->second.usage.ComponentwiseMin(view.capacity);
    if (run.stop_requested || capped_usage.FitsIn(run.charged)) continue;
    const records::Resources usage = RoundUp(capped_usage);
    RecordedUsage& recorded = recorded_usage_[run.run];
    const bool already_recorded = usage.FitsIn(recorded.usage);
    if (already_recorded && recorded.at + kRecordRetryInterval > now) continue;
    recorded = {recorded.usage.ComponentwiseMax(usage), now};
    out.emplace_back(records::RunUsage{run.run, usage});
  }
}

void VmSupervisor::RecordReachability(const VmView& view, Millis now,
                                      std::vector<RecordBody>& out) {
  const bool failing =
      failing_since_ && *failing_since_ + settings_.renew_interval * 2 <= now;
  const bool answering = !failing_since_ && last_completed_ > Millis(0);
  const bool changed = view.marked_unreachable ? answering : failing;
  if (!changed) {
    reachability_recorded_.reset();
    return;
  }
  if (reachability_recorded_ &&
      *reachability_recorded_ + kRecordRetryInterval > now) {
    return;
  }
  reachability_recorded_ = now;
  out.emplace_back(records::VmReachability{view.vm, !failing});
}

void VmSupervisor::RecordExpiredLeases(const VmView& view, Millis now,
                                       std::vector<RecordBody>& out) {
  if (!renewals_suspended_since_ || !sole_renewer_since_ || in_flight_) return;
  const Millis latest_renewal = std::max(
      {*renewals_suspended_since_, *sole_renewer_since_, last_completed_});
  if (latest_renewal + settings_.length + settings_.clock_drift > now) return;
  for (const auto& run : view.runs) {
    if (!MarkRecordedIfDue(run.run, now)) continue;
    out.emplace_back(records::RunEnded{
        run.run, RunOutcome::kLeaseExpired,
        "worker of VM " + view.vm + " gave no answer and the lease lapsed", "",
        renewers_version_});
  }
}

bool VmSupervisor::MarkRecordedIfDue(const RunRef& run, Millis now) {
  const auto [found, is_new] = recorded_at_.try_emplace(run, now);
  if (is_new) return true;
  if (found->second + kRecordRetryInterval > now) return false;
  found->second = now;
  return true;
}

void VmSupervisor::DropEndedRuns(const VmView& view) {
  std::set<RunRef> current;
  for (const auto& run : view.runs) current.insert(run.run);
  const auto has_ended = [&](const auto& item) {
    return !current.contains(item.first);
  };
  for (const auto& [run, report] : reports_) {
    if (!current.contains(run)) recorded_ends_to_send_.insert(run);
  }
  std::erase_if(reports_, has_ended);
  std::erase_if(recorded_at_, has_ended);
  std::erase_if(recorded_usage_, has_ended);
}

std::string VmSupervisor::RunEndObstacle(const VmView& view, Millis now) const {
  if (!failing_since_) return "";
  if (!IsUnreachable(now)) return "the worker does not respond";
  if (!view.sole_renewer) {
    return "the end of the last run is not confirmed: another entry may still "
           "renew its lease";
  }
  return "the end of the last run is not confirmed: its lease has not expired "
         "yet";
}

}  // namespace basilspur::lease
