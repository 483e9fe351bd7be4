#include "placement/interference_scorer.h"

namespace basilspur::placement {

/// Weight of a VM's utilization in its score. VMs with more free capacity are
/// preferred, since a run that uses more than it declared need not be evicted
/// there.
static constexpr double kSpreadWeight = 1.5;

/// Cost of a slowdown, which grows more than proportionally, since the most
/// affected VMs determine the tail latency of a service.
static double SlowdownCost(double slowdown) {
  return slowdown * slowdown * slowdown;
}

InterferenceScorer::InterferenceScorer(
    const interference::InterferenceModel& model,
    const interference::Profile& profile)
    : model_(model), profile_(profile) {}

void InterferenceScorer::StartPass(const state::ClusterState& state) {
  state_ = &state;
  predictions_.clear();
}

InterferenceScorer::Prediction& InterferenceScorer::PredictionFor(
    const state::Vm& vm) {
  const auto [found, is_new] = predictions_.try_emplace(vm.spec.name);
  Prediction& prediction = found->second;
  if (is_new) {
    prediction.mix = mixes_.MixOf(*state_, vm);
    prediction.slowdown = model_.Predict(prediction.mix);
  }
  return prediction;
}

void InterferenceScorer::OnJobPlaced(const state::Job& job,
                                     const state::Vm& vm) {
  Prediction& prediction = PredictionFor(vm);
  const double share = interference::CpuShare(job.Size(), vm.spec.capacity);
  prediction.mix.shares[job.spec.kind] += share;
  prediction.slowdown +=
      model_.Contribution(prediction.mix, job.spec.kind, share);
}

double InterferenceScorer::Score(const state::Job& job, const state::Vm& vm,
                                 const records::Resources& used,
                                 Millis waited) {
  const Prediction& prediction = PredictionFor(vm);
  const double share = interference::CpuShare(job.Size(), vm.spec.capacity);
  const double before = prediction.slowdown;
  const double after =
      before + model_.Contribution(prediction.mix, job.spec.kind, share);
  const bool may_wait = waited < profile_.max_wait;
  if (may_wait && after > profile_.max_predicted_slowdown) return kUnacceptable;
  return SlowdownCost(after) - SlowdownCost(before) +
         kSpreadWeight * interference::CpuShare(used, vm.spec.capacity);
}

}  // namespace basilspur::placement
