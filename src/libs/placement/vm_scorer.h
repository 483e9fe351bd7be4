#ifndef BASILSPUR_PLACEMENT_VM_SCORER_H_
#define BASILSPUR_PLACEMENT_VM_SCORER_H_

#include <limits>

#include "base/clock.h"
#include "records/resources.h"
#include "state/cluster_state.h"

namespace basilspur::placement {

/// Scores the VMs that a job can be placed on.
///
/// Thread safety: one thread at a time.
class VmScorer {
 public:
  virtual ~VmScorer() = default;

  /// Starts a pass over the waiting jobs.
  virtual void StartPass(const state::ClusterState&) {}

  /// Records that the job has been assigned to the VM, which the state does not
  /// reflect yet.
  virtual void OnJobPlaced(const state::Job&, const state::Vm&) {}

  /// Returns the score of the VM for a job that has waited for `waited`. The VM
  /// with the lowest score is selected; of equal scores, the first. The job
  /// keeps waiting rather than run on a VM with the score kUnacceptable. `used`
  /// is the amount of resources charged to the VM, including decisions of this
  /// pass. Precondition: the job fits the VM, and StartPass() was called with
  /// its state.
  virtual double Score(const state::Job& job, const state::Vm& vm,
                       const records::Resources& used, Millis waited) = 0;

  static constexpr double kUnacceptable =
      std::numeric_limits<double>::infinity();
};

/// Selects the first VM with sufficient free capacity. Baseline for
/// comparisons.
class FirstFitScorer final : public VmScorer {
 public:
  double Score(const state::Job& job, const state::Vm& vm,
               const records::Resources& used, Millis waited) override;
};

}  // namespace basilspur::placement

#endif  // BASILSPUR_PLACEMENT_VM_SCORER_H_
