#include "jobs/placer.h"

#include <algorithm>

namespace basilspur::jobs {

// Costs of a place, in thousandths of a core; the lowest wins.
static constexpr double kOffDataRack = 200'000;
static constexpr double kFailedThere = 400'000;
static constexpr double kSqueezesBestEffort = 50'000;
static constexpr double kBestEffortBesideServing = 100'000;
static constexpr double kBestEffortCrowded = 100'000;
/// Processors that long-running tasks take of a VM before the next one.
static constexpr std::int64_t kServingCpuPerVm = 8'000;

bool Placer::IsEligible(const Vm& vm, const StepSpec& spec,
                        const std::string& service, Millis now) const {
  if (!vm.listed || !vm.reachable || vm.lapsed) return false;
  if (vm.listing.draining || vm.listing.service != service) return false;
  if (now < vm.quarantined_until) return false;
  if (!spec.required_label.empty() &&
      !vm.listing.HasLabel(spec.required_label)) {
    return false;
  }
  return spec.Charge().FitsIn(vm.Free());
}

static double ServingCost(const Vm& vm, const StepSpec& spec) {
  const std::int64_t taken = vm.listing.room.cpu_millis - vm.Free().cpu_millis;
  double cost = static_cast<double>(vm.BestEffortCpu());
  if (vm.Serving() == 0) cost += static_cast<double>(spec.need.cpu_millis);
  if (taken + spec.need.cpu_millis > kServingCpuPerVm) {
    cost += static_cast<double>(taken);
  }
  return cost;
}

double Placer::Cost(const Vm& vm, const StepSpec& spec,
                    const Task& task) const {
  double cost = 0;
  if (!spec.data_rack.empty() && vm.listing.rack != spec.data_rack) {
    cost += kOffDataRack;
  }
  if (std::find(task.failed_on.begin(), task.failed_on.end(), vm.listing.id) !=
      task.failed_on.end()) {
    cost += kFailedThere;
  }
  const std::int64_t unused =
      vm.Free().cpu_millis - vm.BestEffortCpu() - spec.need.cpu_millis;
  if (spec.best_effort) {
    if (vm.Serving() > 0) cost += kBestEffortBesideServing;
    if (unused < 0) cost += kBestEffortCrowded;
    return cost - static_cast<double>(unused);
  }
  if (spec.tail_target_ms > 0) return cost + ServingCost(vm, spec);
  if (unused < 0) cost += kSqueezesBestEffort - static_cast<double>(unused);
  return cost + static_cast<double>(vm.Free().cpu_millis);
}

static int CountOn(const std::string& vm, const std::vector<Task>& tasks) {
  int count = 0;
  for (const Task& task : tasks) {
    for (const Run& run : task.runs) {
      if (run.vm == vm) ++count;
    }
  }
  return count;
}

Vm* Placer::Pick(const std::vector<Vm*>& vms, const StepSpec& spec,
                 const std::string& service, const Task& task,
                 const std::vector<Task>& siblings, Millis now) const {
  Vm* best = nullptr;
  double best_cost = 0;
  for (Vm* vm : vms) {
    if (!IsEligible(*vm, spec, service, now)) continue;
    if (spec.max_per_vm > 0 &&
        CountOn(vm->listing.id, siblings) >= spec.max_per_vm) {
      continue;
    }
    const double cost = Cost(*vm, spec, task);
    if (best && cost >= best_cost) continue;
    best = vm;
    best_cost = cost;
  }
  return best;
}

}  // namespace basilspur::jobs
