// Applies records on VMs: listing, draining, ownership and reachability.
#include "state/cluster_state.h"

namespace basilspur::state {

using records::Record;

static ApplyResult VmNotFound(const std::string& name) {
  return {ApplyResultCode::kNotFound, "VM " + name + " does not exist"};
}

static ApplyResult VersionConflict(std::int64_t base_version,
                                   std::int64_t current_version) {
  return {ApplyResultCode::kConflict,
          "based on version " + std::to_string(base_version) +
              ", but the current version is " + std::to_string(current_version),
          current_version};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::VmListed& body) {
  if (!body.spec.capacity.IsValid()) {
    return {ApplyResultCode::kInvalid, "capacity is negative"};
  }
  const auto [found, is_new] = vms_.try_emplace(body.spec.name);
  Vm& vm = found->second;
  vm.spec = body.spec;
  vm.leaving = body.leaving;
  vm.version = revision_;
  if (is_new) {
    for (const auto& [name, service] : services_) {
      for (const auto& target : service.spec.targets) {
        if (target.vm == body.spec.name) {
          vm.used = vm.used + service.spec.per_target;
        }
      }
    }
  }
  ++routing_revision_;
  return {ApplyResultCode::kAccepted, "", vm.version};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::VmUnlisted& body) {
  const auto found = vms_.find(body.vm);
  if (found == vms_.end()) return VmNotFound(body.vm);
  const std::set<std::string> jobs = found->second.running_jobs;
  for (const auto& id : jobs) {
    Job& job = jobs_.at(id);
    ReleaseRun(job);
    ReturnToWaiting(job, "VM " + body.vm + " is gone");
  }
  vms_.erase(body.vm);
  ++routing_revision_;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::VmDrained& body) {
  const auto found = vms_.find(body.vm);
  if (found == vms_.end()) return VmNotFound(body.vm);
  Vm& vm = found->second;
  if (vm.version != body.base_version) {
    return VersionConflict(body.base_version, vm.version);
  }
  vm.draining = body.draining;
  if (!body.draining) {
    vm.quarantined = false;
    vm.finished_elsewhere.clear();
  }
  vm.version = revision_;
  ++routing_revision_;
  return {ApplyResultCode::kAccepted, "", vm.version};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::VmClaimed& body) {
  const auto found = vms_.find(body.vm);
  if (found == vms_.end()) return VmNotFound(body.vm);
  Vm& vm = found->second;
  if (vm.owner != body.expected_owner) {
    return {ApplyResultCode::kConflict,
            "VM " + body.vm + " is owned by " + vm.owner.name};
  }
  vm.owner = record.writer;
  if (vm.standby == record.writer) vm.standby = {};
  vm.renewers.insert(record.writer);
  ++vm.renewers_version;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::VmReleased& body) {
  const auto found = vms_.find(body.vm);
  if (found == vms_.end()) return VmNotFound(body.vm);
  Vm& vm = found->second;
  if (vm.renewers_version != body.renewers_version && !body.stopping) {
    return {ApplyResultCode::kConflict,
            "renewers of the VM have changed since the release was written"};
  }
  vm.RemoveRenewer(record.writer);
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::VmStandby& body) {
  const auto found = vms_.find(body.vm);
  if (found == vms_.end()) return VmNotFound(body.vm);
  Vm& vm = found->second;
  if (vm.standby != body.expected_standby) {
    return {ApplyResultCode::kConflict,
            "standby of the VM is not the expected one"};
  }
  // A former owner may still have commands in flight that start a run.
  if (vm.renewers.contains(record.writer)) {
    return {ApplyResultCode::kConflict,
            "writer is still a renewer of the VM and must release it first"};
  }
  vm.standby = record.writer;
  vm.renewers.insert(record.writer);
  ++vm.renewers_version;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record& record,
                                    const records::VmReachability& body) {
  const auto found = vms_.find(body.vm);
  if (found == vms_.end()) return VmNotFound(body.vm);
  if (found->second.owner != record.writer) {
    return {ApplyResultCode::kConflict, "writer does not own the VM"};
  }
  found->second.unreachable = !body.reachable;
  return {};
}

}  // namespace basilspur::state
