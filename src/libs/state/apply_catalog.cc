// Applies records on services, teams and configuration, and maintains the audit
// trail.
#include <map>
#include <utility>

#include "state/cluster_state.h"

namespace basilspur::state {

using records::Record;

/// Checks that a change is based on the current version of the object. The
/// version of an object that does not exist is 0.
template <class Table>
static ApplyResult CheckBaseVersion(const Table& table, const std::string& name,
                                    std::int64_t base_version) {
  const auto found = table.find(name);
  const std::int64_t current_version =
      found == table.end() ? 0 : found->second.version;
  if (base_version == current_version) return {};
  return {ApplyResultCode::kConflict,
          "based on version " + std::to_string(base_version) +
              ", but the current version is " + std::to_string(current_version),
          current_version};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::ServicePut& body) {
  const std::string& name = body.spec.name;
  ApplyResult result = CheckBaseVersion(services_, name, body.base_version);
  if (!result.Accepted()) return result;
  if (name.empty() || !body.spec.per_target.IsValid()) {
    return {ApplyResultCode::kInvalid,
            "service has no name or a negative size"};
  }
  result = CheckTargetCapacity(body.spec);
  if (!result.Accepted()) return result;
  Service& service = services_[name];
  ChargeTargets(service.spec, -1);
  service.spec = body.spec;
  service.version = revision_;
  ChargeTargets(service.spec, +1);
  ++routing_revision_;
  return {ApplyResultCode::kAccepted, "", service.version};
}

ApplyResult ClusterState::CheckTargetCapacity(
    const records::ServiceSpec& spec) const {
  std::map<std::string, records::Resources> extra;
  for (const auto& target : spec.targets) {
    extra[target.vm] = extra[target.vm] + spec.per_target;
  }
  const auto old = services_.find(spec.name);
  if (old != services_.end()) {
    for (const auto& target : old->second.spec.targets) {
      extra[target.vm] = extra[target.vm] - old->second.spec.per_target;
    }
  }
  for (const auto& [vm_name, amount] : extra) {
    const auto vm = vms_.find(vm_name);
    if (vm == vms_.end()) continue;
    const records::Resources total = vm->second.used + amount;
    if (total.FitsIn(vm->second.spec.capacity)) continue;
    if (total.FitsIn(vm->second.used)) continue;
    return {ApplyResultCode::kNoCapacity,
            "VM " + vm_name + " has no room for " +
                total.FirstShortage(vm->second.spec.capacity)};
  }
  return {};
}

void ClusterState::ChargeTargets(const records::ServiceSpec& spec, int sign) {
  for (const auto& target : spec.targets) {
    const auto vm = vms_.find(target.vm);
    if (vm == vms_.end()) continue;
    records::Resources& used = vm->second.used;
    used = sign > 0 ? used + spec.per_target : used - spec.per_target;
  }
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::ServiceDeleted& body) {
  const auto found = services_.find(body.name);
  if (found == services_.end()) {
    return {ApplyResultCode::kNotFound,
            "service " + body.name + " does not exist"};
  }
  ApplyResult result =
      CheckBaseVersion(services_, body.name, body.base_version);
  if (!result.Accepted()) return result;
  ChargeTargets(found->second.spec, -1);
  services_.erase(found);
  ++routing_revision_;
  return {};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::TeamPut& body) {
  ApplyResult result =
      CheckBaseVersion(teams_, body.spec.name, body.base_version);
  if (!result.Accepted()) return result;
  if (body.spec.name.empty() || !body.spec.quota.IsValid()) {
    return {ApplyResultCode::kInvalid, "team has no name or a negative quota"};
  }
  const auto [found, is_new] = teams_.try_emplace(body.spec.name);
  Team& team = found->second;
  team.spec = body.spec;
  team.version = revision_;
  if (is_new) {
    for (const auto& [id, job] : jobs_) {
      if (job.phase == JobPhase::kRunning && job.spec.team == team.spec.name) {
        team.used = team.used + job.charged;
      }
    }
  }
  return {ApplyResultCode::kAccepted, "", team.version};
}

ApplyResult ClusterState::ApplyBody(const Record&,
                                    const records::ConfigPut& body) {
  ApplyResult result = CheckBaseVersion(config_, body.key, body.base_version);
  if (!result.Accepted()) return result;
  config_[body.key] = {body.value, revision_};
  ++routing_revision_;
  return {ApplyResultCode::kAccepted, "", revision_};
}

bool ClusterState::WithinQuota(std::string_view team,
                               const records::Resources& resources) const {
  const auto found = teams_.find(std::string(team));
  if (found == teams_.end()) return true;
  return (found->second.used + resources).FitsIn(found->second.spec.quota);
}

/// The action and its object as they are shown in the audit trail.
struct ActionName {
  std::string action;
  std::string object;
  std::int64_t base_version = 0;
};

struct ActionNamer {
  ActionName operator()(const records::ServicePut& body) const {
    return {"service put", body.spec.name, body.base_version};
  }
  ActionName operator()(const records::ServiceDeleted& body) const {
    return {"service delete", body.name, body.base_version};
  }
  ActionName operator()(const records::TeamPut& body) const {
    return {"team put", body.spec.name, body.base_version};
  }
  ActionName operator()(const records::ConfigPut& body) const {
    return {"config put", body.key, body.base_version};
  }
  ActionName operator()(const records::JobAccepted& body) const {
    return {"job create", body.spec.id};
  }
  ActionName operator()(const records::JobsCancelled& body) const {
    const std::string first = body.ids.empty() ? "" : body.ids.front();
    const std::string more =
        body.ids.size() > 1
            ? " and " + std::to_string(body.ids.size() - 1) + " more"
            : "";
    return {"job cancel", first + more};
  }
  ActionName operator()(const records::VmDrained& body) const {
    return {body.draining ? "vm drain" : "vm return", body.vm,
            body.base_version};
  }

  ActionName operator()(const records::RunEvicted& body) const {
    return {"run evict", body.run.ToString()};
  }
  template <class Other>
  ActionName operator()(const Other&) const {
    return {"other", ""};
  }
};

void ClusterState::AddAuditEntry(const Record& record,
                                 const ApplyResult& result) {
  ActionName name = std::visit(ActionNamer{}, record.body);
  audit_.push_back({revision_, record.wall_ms, record.actor,
                    std::move(name.action), std::move(name.object),
                    name.base_version,
                    result.Accepted() ? "accepted" : result.reason});
  if (audit_.size() > kMaxAuditEntries) audit_.pop_front();
}

}  // namespace basilspur::state
