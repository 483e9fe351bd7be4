#ifndef BASILSPUR_PLACEMENT_INTERFERENCE_SCORER_H_
#define BASILSPUR_PLACEMENT_INTERFERENCE_SCORER_H_

#include <map>
#include <string>

#include "interference/interference_model.h"
#include "interference/mix_builder.h"
#include "interference/profile.h"
#include "placement/vm_scorer.h"

namespace basilspur::placement {

/// Prefers VMs whose services a job is expected to slow down little.
class InterferenceScorer final : public VmScorer {
 public:
  /// Precondition: `model` and `profile` outlive the scorer.
  InterferenceScorer(const interference::InterferenceModel& model,
                     const interference::Profile& profile);

  void StartPass(const state::ClusterState& state) override;
  void OnJobPlaced(const state::Job& job, const state::Vm& vm) override;
  double Score(const state::Job& job, const state::Vm& vm,
               const records::Resources& used, Millis waited) override;

 private:
  struct Prediction {
    interference::Mix mix;
    double slowdown = 1;
  };

  Prediction& PredictionFor(const state::Vm& vm);

  const interference::InterferenceModel& model_;
  const interference::Profile& profile_;
  interference::MixBuilder mixes_;
  const state::ClusterState* state_ = nullptr;
  std::map<std::string, Prediction> predictions_;
};

}  // namespace basilspur::placement

#endif  // BASILSPUR_PLACEMENT_INTERFERENCE_SCORER_H_
