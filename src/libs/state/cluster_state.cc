#include "state/cluster_state.h"

#include <utility>

#include "records/codec.h"

namespace basilspur::state {

using records::Record;

ApplyResult ClusterState::Apply(const Record& record) {
  if (const auto* join = std::get_if<records::EntryJoined>(&record.body)) {
    return ApplyJoin(record, *join);
  }
  if (!IsLive(record.writer)) {
    return {ApplyResultCode::kUnknownWriter,
            "writer " + record.writer.name + " has not joined or has ended"};
  }
  Member& member = members_[record.writer.name];
  if (record.sequence <= member.last_sequence) {
    return {ApplyResultCode::kDuplicate, "record was already applied"};
  }
  member.last_sequence = record.sequence;
  ApplyResult result = DispatchBody(record);
  if (!record.actor.empty()) AddAuditEntry(record, result);
  return result;
}

ApplyResult ClusterState::ApplyJoin(const Record& record,
                                    const records::EntryJoined& body) {
  Member& member = members_[record.writer.name];
  if (record.writer.incarnation <= member.incarnation) {
    return {ApplyResultCode::kConflict, "incarnation " +
                                            std::to_string(member.incarnation) +
                                            " has already joined"};
  }
  // Only one process at a time can bind the listening address, so the previous
  // incarnation has ended.
  RemoveRenewer({record.writer.name, member.incarnation});
  member.last_sequence = record.sequence;
  member.incarnation = record.writer.incarnation;
  member.live = true;
  return ApplyBody(record, body);
}

ApplyResult ClusterState::DispatchBody(const Record& record) {
  ++revision_;
  return std::visit([&](const auto& body) { return ApplyBody(record, body); },
                    record.body);
}

bool ClusterState::IsLive(const records::EntryRef& entry) const {
  const auto found = members_.find(entry.name);
  return found != members_.end() && found->second.live &&
         found->second.incarnation == entry.incarnation;
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::EntryJoined& body) {
  members_[record.writer.name].spec = body.spec;
  ++routing_revision_;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::EntryEnded& body) {
  if (!IsLive(body.entry)) {
    return {ApplyResultCode::kConflict, "entry has already ended"};
  }
  members_[body.entry.name].live = false;
  RemoveRenewer(body.entry);
  ++routing_revision_;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::SnapshotTaken& body) {
  if (body.state_offset <= snapshot_offset_) {
    return {ApplyResultCode::kConflict,
            "the same or a newer snapshot was already announced"};
  }
  snapshot_offset_ = body.state_offset;
  snapshot_wall_ms_ = record.wall_ms;
  return {};
}

void ClusterState::RemoveRenewer(const records::EntryRef& entry) {
  for (auto& [name, vm] : vms_) vm.RemoveRenewer(entry);
}

std::string ClusterState::Serialize() const {
  const records::Bytes bytes = records::Encode(*this);
  return {bytes.begin(), bytes.end()};
}

void ClusterState::RebuildIndexes() {
  waiting_.clear();
  for (const auto& [id, job] : jobs_) {
    if (job.phase == JobPhase::kWaiting) waiting_.insert(WaitingOrderOf(job));
  }
  ++routing_revision_;
}

WaitingOrder ClusterState::WaitingOrderOf(const Job& job) const {
  return {!job.spec.urgent, job.accept_order, job.spec.id};
}

std::string ClusterState::CheckInvariants() const {
  std::map<std::string, records::Resources> vm_sums;
  std::map<std::string, records::Resources> team_sums;
  for (const auto& [id, job] : jobs_) {
    if (job.phase != JobPhase::kRunning) continue;
    vm_sums[job.vm] = vm_sums[job.vm] + job.charged;
    team_sums[job.spec.team] = team_sums[job.spec.team] + job.charged;
    const auto vm = vms_.find(job.vm);
    if (vm == vms_.end())
      return "job " + id + " runs on a VM that does not exist";
    if (!vm->second.running_jobs.contains(id)) {
      return "job " + id + " is missing in the running jobs of its VM";
    }
  }
  for (const auto& [name, service] : services_) {
    for (const auto& target : service.spec.targets) {
      vm_sums[target.vm] = vm_sums[target.vm] + service.spec.per_target;
    }
  }
  for (const auto& [name, vm] : vms_) {
    if (vm.used != vm_sums[name])
      return "charge of VM " + name +
             " differs from the sum of its runs and targets";
    if (!vm.used.FitsIn(vm.spec.capacity))
      return "VM " + name + " is charged beyond its capacity";
  }
  for (const auto& [name, team] : teams_) {
    if (team.used != team_sums[name])
      return "charge differs from the sum of runs of team " + name;
  }
  return "";
}

}  // namespace basilspur::state
