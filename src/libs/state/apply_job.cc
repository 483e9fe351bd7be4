// Applies records on jobs and their runs.
#include <utility>

#include "state/cluster_state.h"

namespace basilspur::state {

using records::Record;
using records::RunOutcome;

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::JobAccepted& body) {
  if (body.spec.id.empty() || !body.spec.resources.IsValid()) {
    return {ApplyResultCode::kInvalid, "job has no id or a negative size"};
  }
  const auto [found, is_new] = jobs_.try_emplace(body.spec.id);
  Job& job = found->second;
  if (!is_new) {
    return {ApplyResultCode::kConflict,
            "job " + body.spec.id + " already exists", job.version};
  }
  job.spec = body.spec;
  job.accept_order = ++accepted_jobs_;
  job.version = revision_;
  job.last_change_wall_ms = record.wall_ms;
  waiting_.insert(WaitingOrderOf(job));
  return {ApplyResultCode::kAccepted, "", job.version};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::JobsCancelled& body) {
  std::size_t cancelled = 0;
  for (const auto& id : body.ids) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.HasEnded()) continue;
    Job& job = found->second;
    ++cancelled;
    if (job.phase == JobPhase::kWaiting) {
      EndJob(job, JobPhase::kCancelled, "cancelled while it waited");
    } else {
      job.cancel_requested = true;
    }
  }
  if (cancelled == 0) {
    return {ApplyResultCode::kNotFound, "no job of the list was still open"};
  }
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::RunPlaced& body) {
  const auto job_found = jobs_.find(body.run.job);
  const auto vm_found = vms_.find(body.vm);
  if (job_found == jobs_.end() || vm_found == vms_.end()) {
    return {ApplyResultCode::kNotFound,
            "job to place, or VM to place it on, does not exist"};
  }
  Job& job = job_found->second;
  Vm& vm = vm_found->second;
  if (job.phase != JobPhase::kWaiting ||
      body.run.number != job.run_number + 1) {
    return {ApplyResultCode::kConflict,
            "job is not waiting, or its next run has another number"};
  }
  const std::string obstacle = PlacementObstacle(job, vm);
  if (!obstacle.empty()) return {ApplyResultCode::kNoCapacity, obstacle};
  if (!WithinQuota(job.spec.team, job.Size())) {
    return {ApplyResultCode::kOverQuota,
            "exceeds the quota of team " + job.spec.team};
  }
  waiting_.erase(WaitingOrderOf(job));
  job.phase = JobPhase::kRunning;
  job.run_number = body.run.number;
  job.vm = body.vm;
  job.last_change_wall_ms = record.wall_ms;
  vm.running_jobs.insert(job.spec.id);
  Charge(job, job.Size());
  return {};
}

void ClusterState::Charge(Job& job, const records::Resources& amount) {
  job.charged = job.charged + amount;
  Vm& vm = vms_.at(job.vm);
  vm.used = vm.used + amount;
  const auto team = teams_.find(job.spec.team);
  if (team != teams_.end()) team->second.used = team->second.used + amount;
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::RunUsage& body) {
  ApplyResult result;
  Job* job = CurrentJobOfOwner(record.writer, body.run, &result);
  if (job == nullptr) return result;
  if (!body.usage.IsValid()) {
    return {ApplyResultCode::kInvalid,
            "reported usage has a negative component"};
  }
  const Vm& vm = vms_.at(job->vm);
  // A run can't use more than the capacity of its VM, whatever the worker
  // reports.
  const records::Resources usage =
      body.usage.ComponentwiseMin(vm.spec.capacity);
  job->observed = job->observed.ComponentwiseMax(usage);
  const records::Resources increase = job->Size() - job->charged;
  if ((vm.used + increase).FitsIn(vm.spec.capacity)) {
    Charge(*job, increase);
    return {};
  }
  job->evict_requested = true;
  job->detail = "takes more than declared, and VM " + job->vm + " is full";
  return {};
}

std::string ClusterState::PlacementObstacle(const Job& job,
                                            const Vm& vm) const {
  if (!vm.AcceptsRuns()) return "VM " + vm.spec.name + " accepts no runs";
  const records::Resources total = vm.used + job.Size();
  if (!total.FitsIn(vm.spec.capacity)) {
    return "VM " + vm.spec.name + " lacks free capacity";
  }
  return "";
}

std::string ClusterState::WaitingReason(const Job& job) const {
  if (!WithinQuota(job.spec.team, job.Size())) {
    return "exceeds the quota of team " + job.spec.team;
  }
  bool some_vm_large_enough = false;
  std::string shortage;
  for (const auto& [name, vm] : vms_) {
    if (!vm.AcceptsRuns()) continue;
    if (PlacementObstacle(job, vm).empty()) return "";
    const std::string job_shortage = job.Size().FirstShortage(vm.spec.capacity);
    if (job_shortage.empty()) some_vm_large_enough = true;
    if (shortage.empty()) shortage = job_shortage;
  }
  if (some_vm_large_enough)
    return "every VM that is large enough lacks free capacity";
  if (shortage.empty()) return "no VM accepts runs";
  return "no VM has " + shortage;
}

Job* ClusterState::CurrentJob(const records::RunRef& run, ApplyResult* result) {
  const auto found = jobs_.find(run.job);
  if (found == jobs_.end() || found->second.phase != JobPhase::kRunning ||
      found->second.run_number != run.number) {
    *result = {ApplyResultCode::kConflict,
               "run " + run.ToString() + " is not current"};
    return nullptr;
  }
  return &found->second;
}

Job* ClusterState::CurrentJobOfOwner(const records::EntryRef& writer,
                                     const records::RunRef& run,
                                     ApplyResult* result) {
  Job* job = CurrentJob(run, result);
  if (job == nullptr) return nullptr;
  if (vms_.at(job->vm).owner == writer) return job;
  *result = {ApplyResultCode::kConflict,
             "writer does not own the VM of the run"};
  return nullptr;
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::RunEvicted& body) {
  ApplyResult result;
  Job* job = CurrentJob(body.run, &result);
  if (job == nullptr) return result;
  job->evict_requested = true;
  job->detail = body.reason;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::RunCheckpointed& body) {
  ApplyResult result;
  Job* job = CurrentJobOfOwner(record.writer, body.run, &result);
  if (job == nullptr) return result;
  job->checkpoint = body.checkpoint;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::RunEnded& body) {
  ApplyResult result;
  Job* job = CurrentJobOfOwner(record.writer, body.run, &result);
  if (job == nullptr) return result;
  const Vm& vm = vms_.at(job->vm);
  const bool sole_renewer =
      vm.renewers.size() == 1 && vm.renewers_version == body.renewers_version;
  if (body.outcome == RunOutcome::kLeaseExpired && !sole_renewer) {
    return {ApplyResultCode::kConflict,
            "another entry may still renew the lease"};
  }
  if (!body.checkpoint.empty()) job->checkpoint = body.checkpoint;
  job->last_change_wall_ms = record.wall_ms;
  switch (body.outcome) {
    case RunOutcome::kFinished:
      EndFinishedRun(*job);
      break;
    case RunOutcome::kFailed:
      EndFailedRun(*job, body.detail);
      break;
    case RunOutcome::kStopped:
    case RunOutcome::kLeaseExpired:
      ReleaseRun(*job);
      ReturnToWaiting(*job, body.detail);
      break;
  }
  return {};
}

void ClusterState::ReleaseRun(Job& job) {
  Charge(job, records::Resources() - job.charged);
  vms_.at(job.vm).running_jobs.erase(job.spec.id);
}

void ClusterState::EndJob(Job& job, JobPhase phase, std::string detail) {
  waiting_.erase(WaitingOrderOf(job));
  job.phase = phase;
  job.detail = std::move(detail);
  job.version = revision_;
  job.vm.clear();
  job.failed_on.clear();
  job.failed_on_healthy.clear();
  ended_.push_back(job.spec.id);
  if (ended_.size() <= kMaxEndedJobs) return;
  jobs_.erase(ended_.front());
  ended_.pop_front();
}

void ClusterState::ReturnToWaiting(Job& job, std::string detail) {
  if (job.cancel_requested) {
    EndJob(job, JobPhase::kCancelled, "cancelled while it ran");
    return;
  }
  ++job.evictions;
  job.phase = JobPhase::kWaiting;
  job.evict_requested = false;
  job.vm.clear();
  job.detail = std::move(detail);
  waiting_.insert(WaitingOrderOf(job));
}

void ClusterState::EndFinishedRun(Job& job) {
  Vm& vm = vms_.at(job.vm);
  ReleaseRun(job);
  AttributeFailuresToVms(job);
  AttributeFailuresToJobs(vm, job.spec.id);
  EndJob(job, JobPhase::kFinished, "finished");
}

void ClusterState::EndFailedRun(Job& job, const std::string& detail) {
  const std::string vm_name = job.vm;
  ReleaseRun(job);
  ++job.failures;
  if (job.cancel_requested) {
    EndJob(job, JobPhase::kCancelled, "cancelled while it ran");
    return;
  }
  job.failed_on.insert(vm_name);
  vms_.at(vm_name).failed_jobs.insert(job.spec.id);
  ReturnToWaiting(job, "failed: " + detail);
  --job.evictions;
  if (job.failures >= kMaxFailures) {
    EndJob(job, JobPhase::kFailed, "failed too often: " + detail);
  }
}

void ClusterState::AttributeFailuresToVms(const Job& finished) {
  for (const auto& name : finished.failed_on) {
    const auto vm = vms_.find(name);
    if (vm == vms_.end() || name == finished.vm) continue;
    vm->second.finished_elsewhere.insert(finished.spec.id);
    if (vm->second.finished_elsewhere.size() >= kFailedJobsToQuarantine) {
      vm->second.quarantined = true;
    }
  }
}

void ClusterState::AttributeFailuresToJobs(Vm& healthy,
                                           const std::string& finished_job) {
  const std::set<std::string> failed = std::move(healthy.failed_jobs);
  healthy.failed_jobs.clear();
  healthy.finished_elsewhere.clear();
  for (const auto& id : failed) {
    const auto found = jobs_.find(id);
    if (id == finished_job || found == jobs_.end()) continue;
    found->second.failed_on_healthy.insert(healthy.spec.name);
    FailJobAtHealthyVmLimit(found->second);
  }
}

void ClusterState::FailJobAtHealthyVmLimit(Job& job) {
  if (job.phase != JobPhase::kWaiting) return;
  if (job.failed_on_healthy.size() < kMaxFailedHealthyVms) return;
  EndJob(job, JobPhase::kFailed,
         "failed on " + std::to_string(job.failed_on_healthy.size()) +
             " VMs that finish other jobs: " + job.detail);
}

}  // namespace basilspur::state
