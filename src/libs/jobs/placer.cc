#include "jobs/placer.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace basilspur::jobs {

// Costs of a placement, in thousandths of a core. The VM with the lowest sum of
// costs is selected.

/// The VM is not on the rack that holds the task's data.
static constexpr double kOtherRackCost = 200'000;
/// An earlier run of the task failed on the VM.
static constexpr double kFailedOnVmCost = 400'000;
/// The run takes processor time that best-effort runs on the VM use.
static constexpr double kDisplacesBestEffortCost = 50'000;
/// A run with a tail latency target would be the first such run on the VM.
static constexpr double kFirstServingRunCost = 100'000;
/// For each other image whose runs on the VM have tail latency targets.
static constexpr double kOtherServingImageCost = 200'000;
/// A best-effort run would use a VM without tail latency targets. These VMs are
/// kept for the images that raise tail latencies.
static constexpr double kVmWithoutServingRunsCost = 10'000;
/// For each percent by which a best-effort run has to be slowed down.
static constexpr double kSlowdownCostPerPercent = 400;
/// A best-effort run that would have to start at a lower pace waits instead.
static constexpr int kMinStartPacePercent = 70;
/// Approximate share of their declared processor time that long-running tasks
/// with a tail latency target use.
static constexpr std::int64_t kServingCpuUsePercent = 55;

/// Processor time that the runs on a VM leave unused. Negative if best-effort
/// runs need more than that.
static std::int64_t UnusedCpuMillis(const Vm& vm) {
  const std::int64_t idle =
      vm.ServingCpuMillis() * (100 - kServingCpuUsePercent) / 100;
  return vm.Free().cpu_millis + idle - vm.BestEffortCpuMillis();
}

bool Placer::AcceptsRuns(const Vm& vm, const StepSpec& spec,
                         const std::string& service, Millis now) {
  if (!vm.listed || !vm.reachable || vm.lease_expired) return false;
  if (vm.lease_bound_recorded || !vm.in_journal) return false;
  if (vm.listing.draining || vm.listing.service != service) return false;
  if (now < vm.quarantined_until) return false;
  return spec.required_label.empty() ||
         vm.listing.HasLabel(spec.required_label);
}

bool Placer::IsEligible(const Vm& vm, const StepSpec& spec,
                        const std::string& service, Millis now) const {
  if (!AcceptsRuns(vm, spec, service, now)) return false;
  if (!spec.Charge().FitsIn(vm.Free())) return false;
  if (!spec.best_effort) return true;
  return UnusedCpuMillis(vm) >= spec.need.cpu_millis;
}

Vm* Placer::SelectVmToReserve(const std::vector<Vm*>& vms, const StepSpec& spec,
                              const std::string& service, Millis now) {
  Vm* best = nullptr;
  for (Vm* vm : vms) {
    if (!AcceptsRuns(*vm, spec, service, now)) continue;
    if (vm->reservation && now < vm->reservation->until) continue;
    if (!spec.Charge().FitsIn(vm->CapacityBesideLongRunning())) continue;
    if (best && vm->Free().cpu_millis <= best->Free().cpu_millis) continue;
    best = vm;
  }
  return best;
}

/// Each best-effort image raises the tail latency of only some other images. A
/// VM whose runs with tail latency targets share one image can therefore host
/// most best-effort images, and a VM without such runs can host all of them.
static double ServingCost(const Vm& vm, const StepSpec& spec) {
  if (vm.ServingRunCount() == 0) return kFirstServingRunCost;
  std::set<std::string_view> others;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.tail_target_ms > 0 && run.image != spec.image) {
      others.insert(run.image);
    }
  }
  return kOtherServingImageCost * static_cast<double>(others.size());
}

double Placer::Cost(const Vm& vm, const StepSpec& spec,
                    const Task& task) const {
  double cost = 0;
  if (!spec.data_rack.empty() && vm.listing.rack != spec.data_rack) {
    cost += kOtherRackCost;
  }
  if (std::find(task.failed_on.begin(), task.failed_on.end(), vm.listing.id) !=
      task.failed_on.end()) {
    cost += kFailedOnVmCost;
  }
  const std::int64_t unused = UnusedCpuMillis(vm) - spec.need.cpu_millis;
  if (spec.best_effort) {
    if (vm.ServingRunCount() == 0) cost += kVmWithoutServingRunsCost;
    return cost - static_cast<double>(unused);
  }
  if (spec.tail_target_ms > 0) cost += ServingCost(vm, spec);
  if (unused < 0)
    cost += kDisplacesBestEffortCost - static_cast<double>(unused);
  return cost + static_cast<double>(vm.Free().cpu_millis);
}

/// Whether a reservation for another task prevents a run of `spec` on the VM.
static bool IsBlockedByReservation(const Vm& vm, const StepSpec& spec,
                                   const TaskRef& ref, Millis now) {
  const Reservation* other = vm.ReservationOfOther(ref, now);
  if (!other) return false;
  if (other->exclusive && !spec.best_effort) return true;
  if (spec.long_running) return false;
  // Memory is the only resource that a best-effort run takes from the task that
  // the VM is reserved for.
  if (!spec.best_effort) return true;
  return vm.Free().memory_mib - spec.need.memory_mib < other->need.memory_mib;
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

Placement Placer::SelectPlacement(const std::vector<Vm*>& vms,
                                  const StepSpec& spec,
                                  const std::string& service,
                                  const TaskRef& ref, const Task& task,
                                  const std::vector<Task>& siblings,
                                  Millis now) const {
  Placement best;
  double best_cost = 0;
  for (Vm* vm : vms) {
    if (!IsEligible(*vm, spec, service, now)) continue;
    if (IsBlockedByReservation(*vm, spec, ref, now)) continue;
    if (spec.max_per_vm > 0 &&
        CountOn(vm->listing.id, siblings) >= spec.max_per_vm) {
      continue;
    }
    double cost = Cost(*vm, spec, task);
    if (best.vm && cost >= best_cost) continue;
    int pace_percent = 100;
    if (spec.best_effort) {
      pace_percent =
          tails_.MaxPacePercent(*vm, spec.image, spec.need.cpu_millis);
      if (pace_percent < kMinStartPacePercent) continue;
      cost += kSlowdownCostPerPercent * (100 - pace_percent);
      if (best.vm && cost >= best_cost) continue;
    }
    best = {vm, pace_percent};
    best_cost = cost;
  }
  return best;
}

}  // namespace basilspur::jobs
