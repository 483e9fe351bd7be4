#include "interference/mix_builder.h"

#include <algorithm>

namespace basilspur::interference {

double CpuShare(const records::Resources& amount,
                const records::Resources& capacity) {
  const auto capacity_millis = std::max<std::int64_t>(capacity.cpu_millis, 1);
  return static_cast<double>(amount.cpu_millis) /
         static_cast<double>(capacity_millis);
}

void MixBuilder::IndexServices(const state::ClusterState& state) {
  if (state.RoutingRevision() == indexed_revision_) return;
  indexed_revision_ = state.RoutingRevision();
  services_on_vm_.clear();
  for (const auto& [name, service] : state.ServiceTable()) {
    for (const auto& target : service.spec.targets) {
      if (target.vm.empty()) continue;
      std::vector<std::string>& services = services_on_vm_[target.vm];
      if (services.empty() || services.back() != name) services.push_back(name);
    }
  }
}

std::vector<std::string> MixBuilder::ServicesOn(
    const state::ClusterState& state, const std::string& vm) {
  IndexServices(state);
  const auto services = services_on_vm_.find(vm);
  if (services == services_on_vm_.end()) return {};
  return services->second;
}

Mix MixBuilder::MixOf(const state::ClusterState& state, const state::Vm& vm) {
  Mix mix;
  mix.services = ServicesOn(state, vm.spec.name);
  for (const auto& id : vm.running_jobs) {
    const state::Job& job = state.JobTable().at(id);
    mix.shares[job.spec.kind] += CpuShare(job.charged, vm.spec.capacity);
  }
  return mix;
}

}  // namespace basilspur::interference
