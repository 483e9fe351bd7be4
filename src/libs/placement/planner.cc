#include "placement/planner.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hashing.h"
#include "lease/claim_planner.h"

namespace basilspur::placement {

using records::Resources;
using state::ClusterState;
using state::Job;
using state::Vm;

static constexpr std::size_t kMaxDecisionsPerPass = 2'000;
static constexpr std::size_t kMaxDrainEvictionsPerPass = 8;
/// Number of VMs with sufficient free capacity that are compared for a job.
/// Comparing more takes time and improves the placement little.
static constexpr std::size_t kMaxComparedVms = 32;
static constexpr Millis kInitialFailureBackoff(250);
static constexpr std::int64_t kMaxBackoffDoublings = 6;
/// Time for which an urgent job waits for the capacity freed by evictions
/// before more runs are evicted.
static constexpr Millis kUrgentEvictionRetryDelay(5'000);

/// A job of this kind and size that has waited for `waited` keeps waiting,
/// since it would slow down services too much on all VMs that it fits.
struct Deferral {
  std::string kind;
  Resources size;
  Millis waited;
};

/// Waiting time assumed for urgent jobs. It exceeds all limits, so urgent jobs
/// are placed regardless of the slowdown of services.
static constexpr Millis kUrgentWait(std::numeric_limits<std::int64_t>::max());

struct Planner::Pass {
  const ClusterState& state;
  const std::string& self;
  const std::set<std::string>& entries_up;
  Millis wall_now;
  std::map<std::string, Resources> pending_on_vm;
  std::map<std::string, Resources> pending_of_team;
  std::vector<const Vm*> candidates;  ///< VMs that accept runs.
  std::vector<Resources> unplaceable_sizes;
  std::vector<Deferral> deferrals;
  std::vector<records::RecordBody> out;

  /// Returns the resources charged to a VM, including decisions that are not in
  /// force yet.
  Resources UsedOn(const Vm& vm) const {
    const auto pending = pending_on_vm.find(vm.spec.name);
    return pending == pending_on_vm.end() ? vm.used : vm.used + pending->second;
  }
};

/// The best VM of those considered so far.
struct BestCandidate {
  const Vm* vm = nullptr;
  bool has_failed = true;
  double score = 0;

  void Consider(const BestCandidate& other) {
    const bool is_better =
        vm == nullptr ||
        std::pair(other.has_failed, other.score) < std::pair(has_failed, score);
    if (is_better) *this = other;
  }
};

static bool IsInBackoff(const Job& job, Millis wall_now) {
  if (job.failures == 0) return false;
  const std::int64_t doublings =
      std::min(job.failures - 1, kMaxBackoffDoublings);
  const Millis backoff = kInitialFailureBackoff * (1LL << doublings);
  return Millis(job.last_change_wall_ms) + backoff > wall_now;
}

/// Returns true if a job of this size or a smaller one has not fitted on any VM
/// in this pass.
static bool IsKnownUnplaceable(const std::vector<Resources>& unplaceable_sizes,
                               const Resources& size) {
  return std::any_of(
      unplaceable_sizes.begin(), unplaceable_sizes.end(),
      [&](const Resources& failed) { return failed.FitsIn(size); });
}

/// Returns true if a job of the same kind that is not larger and has not waited
/// less has been deferred in this pass.
static bool IsDeferred(const std::vector<Deferral>& deferrals, const Job& job,
                       Millis waited) {
  return std::any_of(
      deferrals.begin(), deferrals.end(), [&](const Deferral& deferral) {
        return deferral.kind == job.spec.kind &&
               deferral.size.FitsIn(job.Size()) && waited <= deferral.waited;
      });
}

Planner::Planner(std::unique_ptr<VmScorer> scorer)
    : scorer_(std::move(scorer)) {}

std::vector<records::RecordBody> Planner::Plan(
    const ClusterState& state, const std::string& self,
    const std::set<std::string>& entries_up, Millis wall_now) {
  Pass pass{state, self, entries_up, wall_now, {}, {}, {}, {}, {}, {}};
  scorer_->StartPass(state);
  for (const auto& [job, decision] : pending_)
    ApplyPending(pass, job, decision);
  CollectCandidates(pass);
  PlaceWaiting(pass);
  EvictFromDrainingVms(pass);
  return std::move(pass.out);
}

void Planner::ApplyPending(Pass& pass, const std::string& job,
                           const Decision& decision) {
  Resources& on_vm = pass.pending_on_vm[decision.vm];
  on_vm = on_vm + decision.resources;
  Resources& of_team = pass.pending_of_team[decision.team];
  of_team = of_team + decision.resources;
  const auto known_job = pass.state.JobTable().find(job);
  const auto known_vm = pass.state.VmTable().find(decision.vm);
  if (known_job == pass.state.JobTable().end()) return;
  if (known_vm == pass.state.VmTable().end()) return;
  scorer_->OnJobPlaced(known_job->second, known_vm->second);
}

void Planner::OnDecisionResolved(const std::string& job) {
  pending_.erase(job);
  evicting_.erase(job);
}

void Planner::CollectCandidates(Pass& pass) const {
  if (pass.state.Waiting().empty()) return;
  pass.candidates.reserve(pass.state.VmTable().size());
  for (const auto& [name, vm] : pass.state.VmTable()) {
    if (vm.AcceptsRuns()) pass.candidates.push_back(&vm);
  }
}

void Planner::PlaceWaiting(Pass& pass) {
  for (const auto& order : pass.state.Waiting()) {
    if (pass.out.size() >= kMaxDecisionsPerPass) return;
    if (pending_.contains(order.job)) continue;
    if (lease::PreferredOwner(order.job, pass.entries_up) != pass.self) {
      continue;
    }
    const Job& job = pass.state.JobTable().at(order.job);
    if (!IsInBackoff(job, pass.wall_now)) PlaceOne(pass, job);
  }
}

void Planner::PlaceOne(Pass& pass, const Job& job) {
  Resources& team_pending = pass.pending_of_team[job.spec.team];
  if (!pass.state.WithinQuota(job.spec.team, team_pending + job.Size())) {
    return;
  }
  const Vm* vm = BestVm(pass, job);
  if (vm == nullptr) {
    if (job.spec.urgent) EvictForUrgent(pass, job);
    return;
  }
  scorer_->OnJobPlaced(job, *vm);
  const std::string& name = vm->spec.name;
  Resources& on_vm = pass.pending_on_vm[name];
  on_vm = on_vm + job.Size();
  team_pending = team_pending + job.Size();
  pending_[job.spec.id] = {name, job.spec.team, job.Size()};
  evicted_for_urgent_at_.erase(job.spec.id);
  pass.out.emplace_back(
      records::RunPlaced{{job.spec.id, job.run_number + 1}, name});
}

const Vm* Planner::BestVm(Pass& pass, const Job& job) const {
  const Resources size = job.Size();
  if (IsKnownUnplaceable(pass.unplaceable_sizes, size)) return nullptr;
  const Millis waited = job.spec.urgent
                            ? kUrgentWait
                            : pass.wall_now - Millis(job.last_change_wall_ms);
  if (IsDeferred(pass.deferrals, job, waited)) return nullptr;
  const std::size_t count = pass.candidates.size();
  const std::size_t start = count == 0 ? 0 : StableHash(job.spec.id) % count;
  BestCandidate best;
  std::size_t compared = 0;
  for (std::size_t i = 0; i < count && compared < kMaxComparedVms; ++i) {
    const Vm& vm = *pass.candidates[(start + i) % count];
    const Resources used = pass.UsedOn(vm);
    if (!(used + size).FitsIn(vm.spec.capacity)) continue;
    ++compared;
    // VMs on which the job has failed are the last choice, since another
    // failure there would give no new information about its cause.
    const bool has_failed = job.failed_on.contains(vm.spec.name);
    const double score = scorer_->Score(job, vm, used, waited);
    if (score != VmScorer::kUnacceptable)
      best.Consider({&vm, has_failed, score});
  }
  if (best.vm != nullptr) return best.vm;
  if (compared == 0) {
    pass.unplaceable_sizes.push_back(size);
  } else {
    pass.deferrals.push_back({job.spec.kind, size, waited});
  }
  return nullptr;
}

void Planner::EvictForUrgent(Pass& pass, const Job& job) {
  const auto found = evicted_for_urgent_at_.find(job.spec.id);
  if (found != evicted_for_urgent_at_.end() &&
      found->second + kUrgentEvictionRetryDelay > pass.wall_now) {
    return;
  }
  std::vector<const Job*> best;
  for (const auto& [name, vm] : pass.state.VmTable()) {
    if (!vm.AcceptsRuns()) continue;
    Resources used = pass.UsedOn(vm);
    std::vector<const Job*> victims;
    for (const auto& id : vm.running_jobs) {
      if ((used + job.Size()).FitsIn(vm.spec.capacity)) break;
      const Job& other = pass.state.JobTable().at(id);
      if (other.spec.urgent || evicting_.contains(id)) continue;
      victims.push_back(&other);
      used = used - other.charged;
    }
    if (!(used + job.Size()).FitsIn(vm.spec.capacity)) continue;
    if (best.empty() || victims.size() < best.size()) best = victims;
  }
  if (best.empty()) return;
  evicted_for_urgent_at_[job.spec.id] = pass.wall_now;
  for (const Job* victim : best) {
    Evict(pass, *victim, "made room for urgent job " + job.spec.id);
  }
}

void Planner::EvictFromDrainingVms(Pass& pass) {
  std::size_t evicted = 0;
  for (const auto& [name, vm] : pass.state.VmTable()) {
    if (!vm.draining && !vm.leaving) continue;
    if (vm.owner.name != pass.self) continue;
    for (const auto& id : vm.running_jobs) {
      if (evicted == kMaxDrainEvictionsPerPass) return;
      const Job& job = pass.state.JobTable().at(id);
      if (job.evict_requested || evicting_.contains(id)) continue;
      Evict(pass, job, "VM " + name + " is leaving");
      ++evicted;
    }
  }
}

void Planner::Evict(Pass& pass, const Job& victim, std::string reason) {
  evicting_.insert(victim.spec.id);
  pass.out.emplace_back(
      records::RunEvicted{victim.CurrentRun(), std::move(reason)});
}

}  // namespace basilspur::placement
