#include "jobs/backfill_policy.h"

#include <algorithm>
#include <utility>

namespace basilspur::jobs {

/// A task is large if it needs at least this multiple of what the runs that
/// were started lately need on average.
static constexpr double kLargeFactor = 2;
/// Weight of a started run in the average.
static constexpr double kMeanSmoothingFactor = 0.02;
/// How long the choice of a VM is kept. A search checks all runs of all VMs,
/// and plans are 8 ms apart.
static constexpr Millis kChoiceDuration(500);
/// Starts are planned on at most one of this number of VMs. With gangs on 8 of
/// 20 VMs, medium tasks waited five times as long in a replay.
static constexpr std::size_t kVmsPerPlannedStart = 10;
/// A run that has exceeded its expected run time is expected to take this share
/// of it in addition.
static constexpr int kOverdueDivisor = 2;

static Vm* FindVm(const std::vector<Vm*>& vms, const std::string& id) {
  const auto found = std::find_if(vms.begin(), vms.end(), [&](const Vm* vm) {
    return vm->listing.id == id;
  });
  return found == vms.end() ? nullptr : *found;
}

void BackfillPolicy::BeginPlan(const std::vector<Vm*>& vms) {
  if (choices_.empty()) return;
  for (Vm* vm : vms) vm->planned_start.reset();
  std::erase_if(choices_,
                [](const auto& entry) { return !entry.second.wanted; });
  for (auto& [task, choice] : choices_) choice.wanted = choice.in_force = false;
}

void BackfillPolicy::BeginPriority(int priority, const std::vector<Vm*>& vms,
                                   Millis now) {
  if (choices_.empty()) return;
  for (auto it = choices_.begin(); it != choices_.end();) {
    Choice& choice = it->second;
    const bool is_due = choice.priority <= priority && !choice.in_force;
    const bool stays = !is_due || Enforce(it->first, choice, vms, now);
    it = stays ? std::next(it) : choices_.erase(it);
  }
  AlignGangs(vms);
}

bool BackfillPolicy::Enforce(const TaskRef& ref, Choice& choice,
                             const std::vector<Vm*>& vms, Millis now) {
  Vm* vm = FindVm(vms, choice.vm);
  if (!vm || !MayPlanOn(*vm, choice.spec, choice.service, now)) return false;
  vm->planned_start = EarliestStart(*vm, choice.spec.Charge(), now);
  if (!vm->planned_start) return false;
  vm->planned_start->task = ref;
  choice.in_force = true;
  return true;
}

void BackfillPolicy::AlignGangs(const std::vector<Vm*>& vms) const {
  for (const auto& [ref, choice] : choices_) {
    if (!choice.spec.gang || !choice.in_force) continue;
    PlannedStart& start = *FindVm(vms, choice.vm)->planned_start;
    for (const auto& [other, other_choice] : choices_) {
      if (!start.IsForStepOf(other) || !other_choice.in_force) continue;
      const auto& other_start = FindVm(vms, other_choice.vm)->planned_start;
      start.at = std::max(start.at, other_start->at);
    }
  }
}

bool BackfillPolicy::HasRoomFor(int starts, const std::vector<Vm*>& vms) const {
  if (static_cast<int>(choices_.size()) >= max_starts_) return false;
  const std::size_t all = choices_.size() + static_cast<std::size_t>(starts);
  return all * kVmsPerPlannedStart <= vms.size();
}

bool BackfillPolicy::IsLarge(const StepSpec& spec) const {
  if (spec.long_running || spec.best_effort || mean_cpu_millis_ <= 0)
    return false;
  return static_cast<double>(spec.need.cpu_millis) >=
             kLargeFactor * mean_cpu_millis_ ||
         static_cast<double>(spec.need.memory_mib) >=
             kLargeFactor * mean_memory_mib_;
}

void BackfillPolicy::OnStarted(Vm& vm, const RunOnVm& run, Millis now) {
  const records::Resources& charge = run.charge;
  if (vm.planned_start) {
    const auto took = run_times_.UpperBound(run.image);
    if (run.long_running || !took || now + *took > vm.planned_start->at)
      vm.planned_start->spare = vm.planned_start->spare - charge;
  }
  if (run.long_running || charge.cpu_millis == 0) return;
  const auto cpu_millis = static_cast<double>(charge.cpu_millis);
  const auto memory_mib = static_cast<double>(charge.memory_mib);
  if (mean_cpu_millis_ <= 0) {
    mean_cpu_millis_ = cpu_millis;
    mean_memory_mib_ = memory_mib;
  }
  mean_cpu_millis_ += kMeanSmoothingFactor * (cpu_millis - mean_cpu_millis_);
  mean_memory_mib_ += kMeanSmoothingFactor * (memory_mib - mean_memory_mib_);
}

bool BackfillPolicy::MayPlanOn(const Vm& vm, const StepSpec& spec,
                               const std::string& service, Millis now) const {
  if (vm.planned_start) return false;
  if (vm.reservation && now < vm.reservation->until) return false;
  if (!spec.Charge().FitsIn(vm.CapacityBesideLongRunning())) return false;
  return placer_.IsOpenTo(vm, spec, service, now);
}

std::optional<PlannedStart> BackfillPolicy::EarliestStart(
    const Vm& vm, const records::Resources& need, Millis now) const {
  std::vector<std::pair<Millis, const RunOnVm*>> ends;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.needs_unknown) return std::nullopt;
    const auto expected = run_times_.Expected(run.image);
    if (run.long_running || !expected) continue;
    const Millis end = run.started_at + *expected;
    const Millis overdue_end = now + Millis(expected->count / kOverdueDivisor);
    ends.emplace_back(end > now ? end : overdue_end, &run);
  }
  std::stable_sort(ends.begin(), ends.end(), [](const auto& a, const auto& b) {
    return a.first < b.first;
  });
  PlannedStart start;
  start.at = now;
  start.spare = vm.Free();
  for (const auto& [end, run] : ends) {
    if (need.FitsIn(start.spare)) break;
    start.at = end;
    start.spare = start.spare + run->charge;
  }
  if (!need.FitsIn(start.spare)) return std::nullopt;
  start.spare = start.spare - need;
  return start;
}

Vm* BackfillPolicy::SelectVm(const StepSpec& spec, const std::string& service,
                             const std::vector<Vm*>& vms, Millis now) const {
  Vm* best = nullptr;
  Millis best_at;
  for (Vm* vm : vms) {
    if (!MayPlanOn(*vm, spec, service, now)) continue;
    const auto start = EarliestStart(*vm, spec.Charge(), now);
    if (!start || (best && start->at >= best_at)) continue;
    best = vm;
    best_at = start->at;
  }
  return best;
}

bool BackfillPolicy::PlanStart(const TaskRef& ref, const UnplacedTask& task,
                               const std::vector<Vm*>& vms, Millis now) {
  const auto [found, is_new] = choices_.try_emplace(ref);
  Choice& choice = found->second;
  choice.wanted = true;
  if (!is_new && now - choice.made_at < kChoiceDuration) return true;
  if (choice.in_force) FindVm(vms, choice.vm)->planned_start.reset();
  const Vm* vm = SelectVm(task.spec, task.service, vms, now);
  if (!vm) {
    choices_.erase(found);
    return false;
  }
  choice = {
      vm->listing.id,     task.spec,      task.service, task.priority, now,
      /*in_force=*/false, /*wanted=*/true};
  return Enforce(ref, choice, vms, now);
}

void BackfillPolicy::OnUnplaced(const UnplacedTask& task,
                                const std::vector<Vm*>& vms, Millis now) {
  if (!HasPlannedStart(task.ref)) {
    if (!task.in_turn || !IsLarge(task.spec)) return;
    if (!HasRoomFor(1, vms)) return;
  }
  PlanStart(task.ref, task, vms, now);
}

void BackfillPolicy::OnGangUnplaced(const UnplacedTask& first,
                                    const std::vector<Vm*>& vms, Millis now) {
  const int count = first.spec.count;
  if (!HasPlannedStart(first.ref)) {
    if (!first.in_turn || first.spec.long_running) return;
    if (!HasRoomFor(count, vms)) return;
  }
  TaskRef ref = first.ref;
  bool planned = true;
  for (ref.index = 0; planned && ref.index < count; ++ref.index)
    planned = PlanStart(ref, first, vms, now);
  if (planned) return AlignGangs(vms);
  // The gang can't start on a part of its VMs.
  for (ref.index = 0; ref.index < count; ++ref.index) {
    const auto found = choices_.find(ref);
    if (found == choices_.end()) continue;
    if (found->second.in_force)
      FindVm(vms, found->second.vm)->planned_start.reset();
    choices_.erase(found);
  }
}

}  // namespace basilspur::jobs
