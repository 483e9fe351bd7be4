#include "jobs/placer.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "jobs/step_places.h"

namespace basilspur::jobs {

// Costs of a placement, in thousandths of a core. The VM with the lowest sum of
// costs is selected.

/// The VM is not on the rack that holds the task's data.
static constexpr double kOtherRackCost = 200'000;
/// An earlier run of the task failed on the VM.
static constexpr double kFailedOnVmCost = 400'000;
/// For each run beside one that may crash the VM.
static constexpr double kRunBesideSuspectCost = 100'000;
/// The VM that may be crashed has been known for a short time only. It may
/// crash again by itself, which would be held against the task.
static constexpr double kYoungVmForSuspectCost = 400'000;
static constexpr Millis kYoungVmAge(10'000);
/// Another run has only begun there, so that a crash may be due to either.
static constexpr double kRecentStartForSuspectCost = 200'000;
static constexpr Millis kRecentStart(500);
/// The VM's data center was opened again a short while ago, and the VM may be
/// slow at first.
static constexpr double kReopeningDataCenterCost = 60'000;
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
/// Lowest pace of a relief run. It has to be high enough for the run to make
/// progress, and low enough not to be throttled.
static constexpr int kMinReliefPacePercent = 20;
/// Approximate share of their declared processor time that long-running tasks
/// with a tail latency target use.
static constexpr std::int64_t kServingCpuUsePercent = 55;

/// Processor time that the runs on a VM leave to best-effort runs.
static std::int64_t CpuMillisForBestEffort(const Vm& vm) {
  const std::int64_t idle =
      vm.ServingCpuMillis() * (100 - kServingCpuUsePercent) / 100;
  return vm.Free().cpu_millis + idle;
}

/// Processor time that all runs on a VM leave unused. Negative if best-effort
/// runs need more than the others leave.
static std::int64_t UnusedCpuMillis(const Vm& vm) {
  return CpuMillisForBestEffort(vm) - vm.BestEffortCpuMillis();
}

std::optional<PlacementRefusal> Placer::GeneralRefusal(
    const Vm& vm, const StepSpec& spec, const std::string& service,
    Millis now) const {
  if (!vm.listed) return PlacementRefusal::kUnlisted;
  if (!vm.reachable || vm.lease_expired) return PlacementRefusal::kUnreachable;
  if (vm.lease_bound_recorded) return PlacementRefusal::kLeaseBound;
  if (!vm.IsRecorded()) return PlacementRefusal::kNotInJournal;
  if (vm.listing.draining) return PlacementRefusal::kDraining;
  if (closures_.IsClosed(vm.listing.data_center))
    return PlacementRefusal::kClosedDataCenter;
  if (vm.listing.service != service) return PlacementRefusal::kOtherService;
  if (now < vm.quarantined_until) return PlacementRefusal::kQuarantined;
  if (vm.IsIsolated(now)) return PlacementRefusal::kIsolated;
  const bool has_label =
      spec.required_label.empty() || vm.listing.HasLabel(spec.required_label);
  if (!has_label) return PlacementRefusal::kMissingLabel;
  return std::nullopt;
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

/// Prefers VMs whose crash would end few runs, and be due to this one.
static double CostForSuspect(const Vm& vm, Millis now) {
  const double young =
      now - vm.known_since < kYoungVmAge ? kYoungVmForSuspectCost : 0;
  const double recent =
      now - vm.last_start_at < kRecentStart ? kRecentStartForSuspectCost : 0;
  return young + recent +
         kRunBesideSuspectCost * static_cast<double>(vm.Runs().size());
}

double Placer::FailureCost(const Vm& vm, const Task& task) {
  const bool failed = std::find(task.failed_on.begin(), task.failed_on.end(),
                                vm.listing.id) != task.failed_on.end();
  return failed ? kFailedOnVmCost : 0;
}

double Placer::Cost(const Vm& vm, const StepSpec& spec, const Task& task,
                    Millis now) const {
  double cost = 0;
  if (!spec.data_rack.empty() && vm.listing.rack != spec.data_rack) {
    cost += kOtherRackCost;
  }
  cost += FailureCost(vm, task);
  if (task.IsSuspect()) cost += CostForSuspect(vm, now);
  if (closures_.IsReopening(vm.listing.data_center, now))
    cost += kReopeningDataCenterCost;
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

bool Placer::DelaysPlannedStart(const Vm& vm, const StepSpec& spec,
                                const TaskRef& ref, Millis now) const {
  const auto& start = vm.planned_start;
  if (!start || spec.long_running || start->IsForStepOf(ref)) return false;
  if (spec.Charge().FitsIn(start->spare)) return false;
  const auto took = run_times_.UpperBound(spec.image);
  return !took || now + *took > start->at;
}

bool Placer::MayHostLater(const Vm& vm, const StepSpec& spec,
                          const std::string& service, const TaskRef& ref,
                          Millis now) const {
  if (GeneralRefusal(vm, spec, service, now)) return false;
  if (!spec.Charge().FitsIn(vm.CapacityBesideLongRunning())) return false;
  return !IsAtLimit(vm, spec, ref);
}

Vm* Placer::SelectVmToReserve(const std::vector<Vm*>& vms, const StepSpec& spec,
                              const std::string& service, const TaskRef& ref,
                              Millis now) const {
  Vm* best = nullptr;
  for (Vm* vm : vms) {
    if (vm->reservation && now < vm->reservation->until) continue;
    if (best && vm->Free().cpu_millis <= best->Free().cpu_millis) continue;
    if (MayHostLater(*vm, spec, service, ref, now)) best = vm;
  }
  return best;
}

bool Placer::IsOpenEnoughFor(const Vm& vm, const StepSpec& spec,
                             Millis now) const {
  const int percent = closures_.BestEffortPercent(vm.listing.data_center, now);
  if (percent >= 100) return true;
  const std::int64_t used = vm.BestEffortCpuMillis() + spec.need.cpu_millis;
  return 100 * used <= percent * vm.listing.capacity.cpu_millis;
}

std::optional<PlacementRefusal> Placer::RefusalOf(const Vm& vm,
                                                  const StepSpec& spec,
                                                  const std::string& service,
                                                  const TaskRef& ref,
                                                  Millis now) const {
  const auto general = GeneralRefusal(vm, spec, service, now);
  if (general) return general;
  const records::Resources charge = spec.Charge();
  const records::Resources free = vm.Free();
  if (!charge.FitsIn(free)) {
    return charge.memory_mib > free.memory_mib ? PlacementRefusal::kMemory
                                               : PlacementRefusal::kCapacity;
  }
  if (IsBlockedByReservation(vm, spec, ref, now)) {
    return PlacementRefusal::kReserved;
  }
  if (DelaysPlannedStart(vm, spec, ref, now))
    return PlacementRefusal::kReserved;
  if (IsAtLimit(vm, spec, ref)) return PlacementRefusal::kMaxPerVm;
  if (spec.best_effort && !IsOpenEnoughFor(vm, spec, now)) {
    return PlacementRefusal::kReopening;
  }
  if (spec.best_effort && UnusedCpuMillis(vm) < spec.need.cpu_millis) {
    return PlacementRefusal::kUnusedCpu;
  }
  return std::nullopt;
}

bool Placer::LacksOnlyCapacity(const Vm& vm, const StepSpec& spec,
                               const std::string& service, const TaskRef& ref,
                               Millis now) const {
  if (GeneralRefusal(vm, spec, service, now)) return false;
  if (spec.Charge().FitsIn(vm.Free())) return false;
  if (vm.ReservationOfOther(ref, now)) return false;
  return !IsAtLimit(vm, spec, ref);
}

/// Whether a refusal, if any, also excludes relief runs.
static bool ExcludesRelief(const std::optional<PlacementRefusal>& refusal) {
  return refusal && refusal != PlacementRefusal::kUnusedCpu;
}

Placement Placer::SelectReliefPlacement(const std::vector<Vm*>& vms,
                                        const StepSpec& spec,
                                        const std::string& service,
                                        const TaskRef& ref, Millis now) const {
  const std::int64_t min_cpu_millis =
      spec.need.cpu_millis * kMinReliefPacePercent / 100;
  Placement best;
  // The highest predicted tail latency, then the missing processor time.
  std::pair<double, std::int64_t> best_cost;
  for (Vm* vm : vms) {
    if (ExcludesRelief(RefusalOf(*vm, spec, service, ref, now))) continue;
    if (CpuMillisForBestEffort(*vm) < min_cpu_millis) continue;
    if (vm->HasReliefRun()) continue;
    const std::optional<double> share =
        tails_.HighestTargetShareWith(*vm, spec.image, min_cpu_millis);
    if (!share) continue;
    const std::pair cost(*share, -UnusedCpuMillis(*vm));
    if (best.vm && cost >= best_cost) continue;
    best.vm = vm;
    best_cost = cost;
  }
  if (!best.vm) return best;
  best.relief = true;
  best.pace_percent = std::max(
      kMinReliefPacePercent,
      tails_.MaxPacePercent(*best.vm, spec.image, spec.need.cpu_millis));
  return best;
}

PlacementOptions Placer::CountOptions(const std::vector<const Vm*>& vms,
                                      const StepSpec& spec,
                                      const std::string& service,
                                      const TaskRef& ref, Millis now) const {
  PlacementOptions options;
  options.vms = static_cast<int>(vms.size());
  for (const Vm* vm : vms) {
    auto refusal = RefusalOf(*vm, spec, service, ref, now);
    if (!refusal) {
      const int pace_percent =
          spec.best_effort
              ? tails_.MaxPacePercent(*vm, spec.image, spec.need.cpu_millis)
              : 100;
      options.max_pace_percent =
          std::max(options.max_pace_percent, pace_percent);
      if (pace_percent < kMinStartPacePercent)
        refusal = PlacementRefusal::kPredictedTails;
    }
    if (refusal) {
      ++options.refused[static_cast<std::size_t>(*refusal)];
    } else {
      ++options.open_vms;
    }
  }
  return options;
}

std::optional<double> Placer::CostOn(const Vm& vm, const StepSpec& spec,
                                     const std::string& service,
                                     const TaskRef& ref, const Task& task,
                                     Millis now) const {
  if (RefusalOf(vm, spec, service, ref, now)) return std::nullopt;
  return Cost(vm, spec, task, now);
}

std::optional<int> Placer::PaceOn(const Vm& vm, const StepSpec& spec,
                                  double& cost) const {
  if (!spec.best_effort) return 100;
  const int percent =
      tails_.MaxPacePercent(vm, spec.image, spec.need.cpu_millis);
  if (percent < kMinStartPacePercent) return std::nullopt;
  cost += kSlowdownCostPerPercent * (100 - percent);
  return percent;
}

Placement Placer::SelectPlacement(const std::vector<Vm*>& vms,
                                  const StepSpec& spec,
                                  const std::string& service,
                                  const TaskRef& ref, const Task& task,
                                  Millis now) const {
  Placement best;
  double best_cost = 0;
  for (Vm* vm : vms) {
    std::optional<double> cost = CostOn(*vm, spec, service, ref, task, now);
    if (!cost || (best.vm && *cost >= best_cost)) continue;
    const std::optional<int> pace_percent = PaceOn(*vm, spec, *cost);
    if (!pace_percent || (best.vm && *cost >= best_cost)) continue;
    best = {vm, *pace_percent, /*relief=*/false};
    best_cost = *cost;
  }
  return best;
}

int Placer::CountFreePlaces(const Vm& vm, const StepSpec& spec,
                            const std::string& service, const TaskRef& ref,
                            int max, Millis now) const {
  if (RefusalOf(vm, spec, service, ref, now)) return 0;
  if (spec.max_per_vm > 0)
    max = std::min(max, spec.max_per_vm - vm.CountRunsOfStep(ref));
  return CountFits(spec.Charge(), vm.Free(), max);
}

}  // namespace basilspur::jobs
