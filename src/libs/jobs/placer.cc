#include "jobs/placer.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace basilspur::jobs {

// Costs of a place, in thousandths of a core; the lowest wins.
static constexpr double kOffDataRack = 200'000;
static constexpr double kFailedThere = 400'000;
static constexpr double kSqueezesBestEffort = 50'000;
static constexpr double kFirstServing = 100'000;
static constexpr double kOtherImageServing = 200'000;
/// Of a VM without tails, which images that disturb need more.
static constexpr double kTakesQuietVm = 10'000;
/// For each percent that a best-effort run has to be slowed down.
static constexpr double kSlownessCost = 400;
/// A best-effort run that could go only slower than this waits instead.
static constexpr int kSlowestStart = 70;
/// Long-running tasks with a target use about this much of what they declare.
static constexpr std::int64_t kServingUsePercent = 55;

/// Processor time that a VM's tasks leave unused.
static std::int64_t Unused(const Vm& vm) {
  const std::int64_t idle = vm.ServingCpu() * (100 - kServingUsePercent) / 100;
  return vm.Free().cpu_millis + idle - vm.BestEffortCpu();
}

bool Placer::TakesRuns(const Vm& vm, const StepSpec& spec,
                       const std::string& service, Millis now) {
  if (!vm.listed || !vm.reachable || vm.lapsed) return false;
  if (vm.told_silent) return false;
  if (vm.listing.draining || vm.listing.service != service) return false;
  if (now < vm.quarantined_until) return false;
  return spec.required_label.empty() ||
         vm.listing.HasLabel(spec.required_label);
}

bool Placer::IsEligible(const Vm& vm, const StepSpec& spec,
                        const std::string& service, Millis now) const {
  if (!TakesRuns(vm, spec, service, now)) return false;
  if (!spec.Charge().FitsIn(vm.Free())) return false;
  if (!spec.best_effort) return true;
  return Unused(vm) >= spec.need.cpu_millis;
}

Vm* Placer::PickToReserve(const std::vector<Vm*>& vms, const StepSpec& spec,
                          const std::string& service, Millis now) {
  Vm* best = nullptr;
  for (Vm* vm : vms) {
    if (!TakesRuns(*vm, spec, service, now)) continue;
    if (vm->reservation && now < vm->reservation->until) continue;
    if (!spec.Charge().FitsIn(vm->RoomBesideLongRunning())) continue;
    if (best && vm->Free().cpu_millis <= best->Free().cpu_millis) continue;
    best = vm;
  }
  return best;
}

/// Each best-effort image disturbs only some images. VMs whose tasks with
/// targets are of one image are open to most of them, and VMs without such
/// tasks to all.
static double ServingCost(const Vm& vm, const StepSpec& spec) {
  if (vm.Serving() == 0) return kFirstServing;
  std::set<std::string_view> others;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.tail_target_ms > 0 && run.image != spec.image) {
      others.insert(run.image);
    }
  }
  return kOtherImageServing * static_cast<double>(others.size());
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
  const std::int64_t unused = Unused(vm) - spec.need.cpu_millis;
  if (spec.best_effort) {
    if (vm.Serving() == 0) cost += kTakesQuietVm;
    return cost - static_cast<double>(unused);
  }
  if (spec.tail_target_ms > 0) cost += ServingCost(vm, spec);
  if (unused < 0) cost += kSqueezesBestEffort - static_cast<double>(unused);
  return cost + static_cast<double>(vm.Free().cpu_millis);
}

/// Whether room that is kept for another task keeps a run of `spec` out.
static bool IsKeptOut(const Vm& vm, const StepSpec& spec, const TaskRef& ref,
                      Millis now) {
  const Reservation* other = vm.ReservationOfOther(ref, now);
  if (!other) return false;
  if (other->exclusive && !spec.best_effort) return true;
  if (spec.long_running) return false;
  // A best-effort run takes nothing but memory from the task that waits.
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

Place Placer::Pick(const std::vector<Vm*>& vms, const StepSpec& spec,
                   const std::string& service, const TaskRef& ref,
                   const Task& task, const std::vector<Task>& siblings,
                   Millis now) const {
  Place best;
  double best_cost = 0;
  for (Vm* vm : vms) {
    if (!IsEligible(*vm, spec, service, now)) continue;
    if (IsKeptOut(*vm, spec, ref, now)) continue;
    if (spec.max_per_vm > 0 &&
        CountOn(vm->listing.id, siblings) >= spec.max_per_vm) {
      continue;
    }
    double cost = Cost(*vm, spec, task);
    if (best.vm && cost >= best_cost) continue;
    int pace = 100;
    if (spec.best_effort) {
      pace = tails_.PaceFor(*vm, spec.image, spec.need.cpu_millis);
      if (pace < kSlowestStart) continue;
      cost += kSlownessCost * (100 - pace);
      if (best.vm && cost >= best_cost) continue;
    }
    best = {vm, pace};
    best_cost = cost;
  }
  return best;
}

}  // namespace basilspur::jobs
