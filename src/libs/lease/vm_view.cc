#include "lease/vm_view.h"

namespace basilspur::lease {

VmView ViewOf(const state::ClusterState& state, const state::Vm& vm,
              const records::EntryRef& self) {
  VmView view;
  view.vm = vm.spec.name;
  view.worker_address = vm.spec.worker_address;
  view.owned = vm.owner == self;
  view.standby = vm.standby == self;
  view.owner = vm.owner.name;
  view.may_renew = vm.renewers.contains(self);
  view.sole_renewer = view.may_renew && vm.renewers.size() == 1;
  const std::size_t standbys = vm.renewers.contains(vm.standby) ? 1 : 0;
  view.sole_starter =
      view.may_renew && !view.standby && vm.renewers.size() - standbys == 1;
  view.renewers_version = vm.renewers_version;
  view.marked_unreachable = vm.unreachable;
  view.capacity = vm.spec.capacity;
  for (const auto& id : vm.running_jobs) {
    const state::Job& job = state.JobTable().at(id);
    view.runs.push_back({job.CurrentRun(), job.spec, job.checkpoint,
                         job.cancel_requested || job.evict_requested,
                         job.charged, false});
  }
  return view;
}

}  // namespace basilspur::lease
