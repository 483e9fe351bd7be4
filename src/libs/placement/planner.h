#ifndef BASILSPUR_PLACEMENT_PLANNER_H_
#define BASILSPUR_PLACEMENT_PLANNER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "placement/vm_scorer.h"
#include "records/record.h"
#include "state/cluster_state.h"

namespace basilspur::placement {

/// Decides on which VMs this entry places waiting jobs, and which runs it
/// evicts in favor of urgent jobs and from draining VMs. Each waiting job has a
/// preferred entry, so different entries rarely decide on the same job.
///
/// Pure logic. Thread safety: one thread at a time.
class Planner {
 public:
  explicit Planner(std::unique_ptr<VmScorer> scorer);

  /// Returns the records to append now. `wall_now` is the wall-clock time, like
  /// the times in the state.
  std::vector<records::RecordBody> Plan(const state::ClusterState& state,
                                        const std::string& self,
                                        const std::set<std::string>& entries_up,
                                        Millis wall_now);

  /// Must be called once the record that places or evicts this job's run has
  /// been applied, accepted or not, or has been refused by the log writer.
  void OnDecisionResolved(const std::string& job);

 private:
  struct Decision {
    std::string vm;
    std::string team;
    records::Resources resources;
  };
  struct Pass;

  void ApplyPending(Pass& pass, const std::string& job,
                    const Decision& decision);
  void PlaceWaiting(Pass& pass);
  void PlaceOne(Pass& pass, const state::Job& job);
  const state::Vm* BestVm(Pass& pass, const state::Job& job) const;

  void CollectCandidates(Pass& pass) const;
  void EvictForUrgent(Pass& pass, const state::Job& job);
  void EvictFromDrainingVms(Pass& pass);
  void Evict(Pass& pass, const state::Job& victim, std::string reason);

  std::unique_ptr<VmScorer> scorer_;
  std::map<std::string, Decision> pending_;
  std::set<std::string> evicting_;
  std::map<std::string, Millis> evicted_for_urgent_at_;
};

}  // namespace basilspur::placement

#endif  // BASILSPUR_PLACEMENT_PLANNER_H_
