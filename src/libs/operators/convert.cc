#include "operators/convert.h"

#include <set>

#include "net/address.h"

namespace basilspur::operators::internal {

static constexpr int kMaxNameLength = 200;

static void CopyResources(const records::Resources& from, v1::Resources* to) {
  to->set_cpu_millis(from.cpu_millis);
  to->set_memory_mib(from.memory_mib);
  to->set_accelerators(from.accelerators);
}

records::Resources FromMessage(const v1::Resources& message) {
  return {message.cpu_millis(), message.memory_mib(), message.accelerators()};
}

records::ServiceSpec FromMessage(const v1::Service& message) {
  records::ServiceSpec spec;
  spec.name = message.name();
  spec.team = message.team();
  spec.timeout_ms = message.timeout_ms();
  spec.queue_limit = message.queue_limit();
  spec.per_target = FromMessage(message.per_target());
  for (const auto& target : message.targets()) {
    spec.targets.push_back(
        {target.address(), target.data_center(), target.vm(), target.slots()});
  }
  return spec;
}

records::JobSpec FromMessage(const v1::Job& message) {
  return {message.id(),
          message.team(),
          message.kind(),
          message.command(),
          FromMessage(message.resources()),
          message.urgent()};
}

v1::Service ToMessage(const state::Service& service) {
  v1::Service message;
  message.set_name(service.spec.name);
  message.set_team(service.spec.team);
  message.set_timeout_ms(service.spec.timeout_ms);
  message.set_queue_limit(service.spec.queue_limit);
  message.set_version(service.version);
  CopyResources(service.spec.per_target, message.mutable_per_target());
  for (const auto& target : service.spec.targets) {
    v1::Target* added = message.add_targets();
    added->set_address(target.address);
    added->set_data_center(target.data_center);
    added->set_vm(target.vm);
    added->set_slots(target.slots);
  }
  return message;
}

v1::Team ToMessage(const state::Team& team) {
  v1::Team message;
  message.set_name(team.spec.name);
  message.set_version(team.version);
  CopyResources(team.spec.quota, message.mutable_quota());
  CopyResources(team.used, message.mutable_used());
  return message;
}

static const char* StateName(const state::Vm& vm) {
  if (vm.leaving) return "leaving";
  if (vm.draining) return "draining";
  if (vm.unreachable) return "unreachable";
  if (vm.quarantined) return "quarantined";
  return "live";
}

v1::Vm ToMessage(const state::Vm& vm) {
  v1::Vm message;
  message.set_name(vm.spec.name);
  message.set_worker_address(vm.spec.worker_address);
  message.set_rack(vm.spec.rack);
  message.set_data_center(vm.spec.data_center);
  message.set_state(StateName(vm));
  message.set_owner(vm.owner.name);
  message.set_standby(vm.standby.name);
  message.set_runs(static_cast<std::int64_t>(vm.running_jobs.size()));
  message.set_version(vm.version);
  CopyResources(vm.spec.capacity, message.mutable_capacity());
  CopyResources(vm.used, message.mutable_used());
  return message;
}

static const char* PhaseName(state::JobPhase phase) {
  switch (phase) {
    case state::JobPhase::kWaiting:
      return "waiting";
    case state::JobPhase::kRunning:
      return "running";
    case state::JobPhase::kFinished:
      return "finished";
    case state::JobPhase::kFailed:
      return "failed";
    case state::JobPhase::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

v1::Job ToMessage(const state::Job& job) {
  v1::Job message;
  message.set_id(job.spec.id);
  message.set_team(job.spec.team);
  message.set_kind(job.spec.kind);
  message.set_command(job.spec.command);
  CopyResources(job.spec.resources, message.mutable_resources());
  message.set_urgent(job.spec.urgent);
  message.set_phase(PhaseName(job.phase));
  message.set_vm(job.vm);
  message.set_runs(job.run_number);
  message.set_evictions(job.evictions);
  message.set_failures(job.failures);
  message.set_checkpoint(job.checkpoint);
  message.set_version(job.version);
  message.set_reason(job.detail);
  return message;
}

v1::Figure ToMessage(const metrics::Figure& figure) {
  v1::Figure message;
  message.set_name(figure.name);
  message.set_labels(metrics::RenderLabels(figure.labels));
  message.set_is_times(figure.is_times);
  message.set_value(figure.value);
  message.set_p50_ms(figure.p50_ms);
  message.set_p99_ms(figure.p99_ms);
  return message;
}

v1::Entry ToMessage(const std::string& name, const state::Member& member) {
  v1::Entry message;
  message.set_name(name);
  message.set_incarnation(member.incarnation);
  message.set_data_center(member.spec.data_center);
  message.set_caller_address(member.spec.caller_address);
  message.set_operator_address(member.spec.operator_address);
  message.set_live(member.live);
  return message;
}

v1::AuditRecord ToMessage(const state::AuditEntry& entry) {
  v1::AuditRecord message;
  message.set_revision(entry.revision);
  message.set_wall_ms(entry.wall_ms);
  message.set_actor(entry.actor);
  message.set_action(entry.action);
  message.set_object(entry.object);
  message.set_base_version(entry.base_version);
  message.set_result(entry.result);
  return message;
}

static std::string NameValidationError(const std::string& name) {
  if (name.empty()) return "name is empty: expected 1 to 200 characters";
  if (name.size() > kMaxNameLength)
    return "name is too long: expected at most 200 characters";
  for (const char c : name) {
    const bool allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                         (c >= '0' && c <= '9') || c == '.' || c == '_' ||
                         c == '-';
    if (!allowed) {
      return "name \"" + name +
             "\" is invalid: expected only letters, digits, '.', '_' and '-'";
    }
  }
  return "";
}

static std::string ValidationError(const v1::Resources& resources) {
  if (FromMessage(resources).IsValid()) return "";
  return "resources are negative: expected amounts of at least 0";
}

std::string ValidationError(const v1::Service& message) {
  const std::string name_error = NameValidationError(message.name());
  if (!name_error.empty()) return name_error;
  if (message.timeout_ms() < 0 || message.queue_limit() < 0) {
    return "timeout_ms or queue_limit is negative: expected at least 0";
  }
  std::set<std::string> addresses;
  for (const auto& target : message.targets()) {
    const auto address = net::ParseAddress(target.address());
    if (!IsOk(address)) return ErrorOf(address).ToString();
    if (target.slots() <= 0) {
      return "target " + target.address() +
             " has too few slots: expected at least 1";
    }
    if (!addresses.insert(target.address()).second) {
      return "target " + target.address() +
             " is listed twice: expected distinct addresses";
    }
  }
  return ValidationError(message.per_target());
}

std::string ValidationError(const v1::Job& message) {
  const std::string name_error = NameValidationError(message.id());
  if (!name_error.empty()) return name_error;
  return ValidationError(message.resources());
}

}  // namespace basilspur::operators::internal
