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

/// A record that has shown no effect for so long is appended again.
static constexpr Millis kRecordAgain(5'000);

/// A usage that grows is recorded in these steps.
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
  // Other renewers in between count, although they are gone again.
  const bool changed = view.renewers_version != sole_version_;
  if (!view.sole_renewer || changed) sole_since_.reset();
  if (view.sole_renewer && !sole_since_) sole_since_ = now;
  sole_version_ = view.renewers_version;
  if (in_flight_ || !view.may_renew || view.stopping) return std::nullopt;
  if (view.standby) return NextStandbySync(view, now);
  if (!view.owned) return std::nullopt;
  if (MustKeepQuiet(view, now)) {
    if (!quiet_since_) quiet_since_ = now;
    return std::nullopt;
  }
  quiet_since_.reset();
  const bool due = last_sent_ + settings_.renew_interval <= now;
  if (!due && !HasNews(view, fresh)) return std::nullopt;
  SyncRequest request = MakeSync(view, fresh);
  const bool probes = first_failure_ || view.marked_unreachable;
  const bool is_empty = request.orders.empty() && request.forget.empty();
  if (is_empty && !probes) return std::nullopt;
  in_flight_ = true;
  last_sent_ = now;
  return request;
}

std::optional<SyncRequest> VmSupervisor::NextStandbySync(const VmView& view,
                                                         Millis now) {
  const bool promised = promised_version_ == view.renewers_version;
  const bool due = last_sent_ + settings_.renew_interval <= now;
  if (promised || !due || !view.owner_silent || view.runs.empty()) {
    return std::nullopt;
  }
  SyncRequest request;
  request.lease_ms = settings_.length.count;
  for (const auto& run : view.runs) {
    request.orders.push_back({run.run, RunDirective::kRun, {}, ""});
  }
  in_flight_ = true;
  last_sent_ = now;
  return request;
}

bool VmSupervisor::IsUnreachable(Millis now) const {
  return first_failure_ && *first_failure_ + settings_.length <= now;
}

bool VmSupervisor::MustKeepQuiet(const VmView& view, Millis now) const {
  // Silence is what lets the lease lapse; it pays only while runs are held.
  return IsUnreachable(now) && !view.runs.empty();
}

bool VmSupervisor::HasNews(const VmView& view, bool fresh) const {
  // After a failure the next try waits for the interval.
  if (first_failure_) return false;
  for (const auto& run : view.runs) {
    const auto ordered = ordered_stop_.find(run.run);
    if (ordered == ordered_stop_.end()) {
      if (fresh || reports_.contains(run.run)) return true;
      continue;
    }
    if (ordered->second != run.stop_requested) return true;
  }
  return false;
}

SyncRequest VmSupervisor::MakeSync(const VmView& view, bool fresh) {
  SyncRequest request;
  request.lease_ms = settings_.length.count;
  std::map<RunRef, bool> ordered;
  for (const auto& run : view.runs) {
    const bool started = reports_.contains(run.run);
    // A process that was paused starts nothing on an old view.
    if (!started && !fresh) continue;
    ordered[run.run] = run.stop_requested;
    RunDirective directive = RunDirective::kRun;
    if (run.throttled) directive = RunDirective::kThrottle;
    if (run.stop_requested) directive = RunDirective::kStop;
    if (started) {
      request.orders.push_back({run.run, directive, {}, ""});
    } else {
      request.orders.push_back({run.run, directive, run.job, run.checkpoint});
    }
  }
  ordered_stop_ = std::move(ordered);
  // While another entry may still order a run to start on an older view, the
  // worker must remember ended runs to refuse them.
  if (view.sole_starter) {
    request.forget.assign(to_forget_.begin(), to_forget_.end());
    forgetting_ = to_forget_;
  }
  return request;
}

void VmSupervisor::OnSyncDone(const Result<SyncReply>& reply, Millis now) {
  in_flight_ = false;
  last_done_ = now;
  if (!IsOk(reply)) {
    if (!first_failure_) first_failure_ = now;
    forgetting_.clear();
    return;
  }
  first_failure_.reset();
  for (const auto& run : forgetting_) to_forget_.erase(run);
  forgetting_.clear();
  for (const auto& report : ValueOf(reply).reports) {
    if (report.status == RunStatus::kUnknown) {
      // Lost by the worker: the next order carries the job again.
      reports_.erase(report.run);
      ordered_stop_.erase(report.run);
    } else {
      reports_[report.run] = report;
    }
  }
}

std::vector<RecordBody> VmSupervisor::NextRecords(const VmView& view,
                                                  Millis now) {
  std::vector<RecordBody> out;
  if (!view.owned || view.stopping) {
    // A lapse must not wait for a standby that can do nothing either.
    const bool is_needed =
        view.standby && !view.stopping && !view.marked_unreachable;
    // Superseded or stopping: promise to stay quiet, once nothing is on its
    // way.
    if (!is_needed && view.may_renew && !in_flight_ && MayRecord({}, now)) {
      promised_version_ = view.renewers_version;
      out.emplace_back(
          records::VmReleased{view.vm, view.stopping, view.renewers_version});
    }
    return out;
  }
  RecordEnds(view, now, out);
  RecordUsage(view, now, out);
  RecordReachability(view, now, out);
  RecordLapses(view, now, out);
  ForgetOldReports(view);
  return out;
}

void VmSupervisor::RecordEnds(const VmView& view, Millis now,
                              std::vector<RecordBody>& out) {
  for (const auto& run : view.runs) {
    const auto found = reports_.find(run.run);
    if (found == reports_.end()) continue;
    const RunReport& report = found->second;
    if (report.status != RunStatus::kRunning) {
      if (!MayRecord(run.run, now)) continue;
      out.emplace_back(records::RunEnded{run.run, OutcomeOf(report.status),
                                         report.detail, report.checkpoint});
      continue;
    }
    const bool is_new =
        !report.checkpoint.empty() && report.checkpoint != run.checkpoint;
    if (is_new && MayRecord(run.run, now)) {
      out.emplace_back(records::RunCheckpointed{run.run, report.checkpoint});
    }
  }
}

void VmSupervisor::RecordUsage(const VmView& view, Millis now,
                               std::vector<RecordBody>& out) {
  for (const auto& run : view.runs) {
    const auto found = reports_.find(run.run);
    if (found == reports_.end()) continue;
    // No more than this is ever charged.
    const records::Resources taken = found->second.usage.AtMost(view.capacity);
    if (run.stop_requested || taken.FitsIn(run.charged)) continue;
    const records::Resources usage = RoundUp(taken);
    RecordedUsage& recorded = recorded_usage_[run.run];
    const bool is_known = usage.FitsIn(recorded.usage);
    if (is_known && recorded.at + kRecordAgain > now) continue;
    recorded = {recorded.usage.AtLeast(usage), now};
    out.emplace_back(records::RunUsage{run.run, usage});
  }
}

void VmSupervisor::RecordReachability(const VmView& view, Millis now,
                                      std::vector<RecordBody>& out) {
  const bool failing =
      first_failure_ && *first_failure_ + settings_.renew_interval * 2 <= now;
  const bool answering = !first_failure_ && last_done_ > Millis(0);
  const bool changed = view.marked_unreachable ? answering : failing;
  if (!changed) {
    reachability_recorded_.reset();
    return;
  }
  if (reachability_recorded_ && *reachability_recorded_ + kRecordAgain > now) {
    return;
  }
  reachability_recorded_ = now;
  out.emplace_back(records::VmReachability{view.vm, !failing});
}

void VmSupervisor::RecordLapses(const VmView& view, Millis now,
                                std::vector<RecordBody>& out) {
  if (!quiet_since_ || !sole_since_ || in_flight_) return;
  const Millis last_chance =
      std::max({*quiet_since_, *sole_since_, last_done_});
  if (last_chance + settings_.length + settings_.drift > now) return;
  for (const auto& run : view.runs) {
    if (!MayRecord(run.run, now)) continue;
    out.emplace_back(records::RunEnded{
        run.run, RunOutcome::kLapsed,
        "worker of VM " + view.vm + " gave no answer and the lease lapsed", "",
        sole_version_});
  }
}

bool VmSupervisor::MayRecord(const RunRef& run, Millis now) {
  const auto [found, is_new] = recorded_at_.try_emplace(run, now);
  if (is_new) return true;
  if (found->second + kRecordAgain > now) return false;
  found->second = now;
  return true;
}

void VmSupervisor::ForgetOldReports(const VmView& view) {
  std::set<RunRef> current;
  for (const auto& run : view.runs) current.insert(run.run);
  const auto is_old = [&](const auto& item) {
    return !current.contains(item.first);
  };
  for (const auto& [run, report] : reports_) {
    if (!current.contains(run)) to_forget_.insert(run);
  }
  std::erase_if(reports_, is_old);
  std::erase_if(recorded_at_, is_old);
  std::erase_if(recorded_usage_, is_old);
}

std::string VmSupervisor::Obstacle(const VmView& view, Millis now) const {
  if (!first_failure_) return "";
  if (!IsUnreachable(now)) return "the worker gives no answer";
  if (!view.sole_renewer) {
    return "no evidence that the last run ended: another entry may still "
           "renew its lease";
  }
  return "no evidence that the last run ended: its lease has not lapsed yet";
}

}  // namespace basilspur::lease
