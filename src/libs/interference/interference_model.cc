#include "interference/interference_model.h"

#include <algorithm>
#include <cmath>

namespace basilspur::interference {

/// Assumed weight and variance of a pair that no entry has measured yet.
static constexpr double kInitialWeight = 0.5;
static constexpr double kInitialVariance = 4.0;
/// Increase of a weight's variance with each measurement.
static constexpr double kProcessNoiseVariance = 0.002;
/// Measurements are clamped to this slowdown, so that a single wrong report
/// does not invalidate the estimates.
static constexpr double kMaxMeasuredSlowdown = 20.0;

/// An estimate is sent to the peers again once its weight has changed by more
/// than this, or its variance has decreased by more than this factor.
static constexpr double kNotableWeightChange = 0.05;
static constexpr double kNotableVarianceFactor = 2.0;

double InterferenceModel::WeightOf(const std::string& service,
                                   std::string_view kind) const {
  const auto found = combined_weights_.find({service, std::string(kind)});
  return found == combined_weights_.end() ? kInitialWeight : found->second;
}

double InterferenceModel::Predict(const Mix& mix) const {
  if (mix.services.empty()) return 1;
  const std::lock_guard lock(mutex_);
  double sum = 0;
  for (const auto& service : mix.services) {
    for (const auto& [kind, share] : mix.shares) {
      sum += WeightOf(service, kind) * share;
    }
  }
  return 1 + sum / static_cast<double>(mix.services.size());
}

double InterferenceModel::Contribution(const Mix& mix, std::string_view kind,
                                       double share) const {
  if (mix.services.empty()) return 0;
  const std::lock_guard lock(mutex_);
  double sum = 0;
  for (const auto& service : mix.services) {
    sum += WeightOf(service, kind) * share;
  }
  return sum / static_cast<double>(mix.services.size());
}

void InterferenceModel::Observe(const Mix& mix, double slowdown) {
  if (mix.services.empty()) return;
  const std::lock_guard lock(mutex_);
  const double service_factor = 1 / static_cast<double>(mix.services.size());
  double predicted = 1;
  double innovation_variance = measurement_variance_;
  for (const auto& service : mix.services) {
    for (const auto& [kind, share] : mix.shares) {
      const auto [found, is_new] = own_estimates_.try_emplace({service, kind});
      Estimate& estimate = found->second;
      if (is_new) {
        estimate.weight = kInitialWeight;
        estimate.variance = kInitialVariance;
      }
      estimate.variance =
          std::min(estimate.variance + kProcessNoiseVariance, kInitialVariance);
      const double factor = share * service_factor;
      predicted += estimate.weight * factor;
      innovation_variance += estimate.variance * factor * factor;
    }
  }
  const double innovation =
      std::clamp(slowdown, 0.0, kMaxMeasuredSlowdown) - predicted;
  for (const auto& service : mix.services) {
    for (const auto& [kind, share] : mix.shares) {
      Estimate& estimate = own_estimates_.at({service, kind});
      const double factor = share * service_factor;
      const double gain = estimate.variance * factor / innovation_variance;
      estimate.weight = std::max(estimate.weight + gain * innovation, 0.0);
      estimate.variance *= 1 - gain * factor;
      UpdateCombinedWeight({service, kind});
    }
  }
}

void InterferenceModel::UpdateCombinedWeight(const Pair& pair) {
  double weights = 0;
  double precisions = 0;
  const auto add = [&](const Estimates& estimates) {
    const auto found = estimates.find(pair);
    if (found == estimates.end()) return;
    const double precision = 1 / found->second.variance;
    weights += found->second.weight * precision;
    precisions += precision;
  };
  add(own_estimates_);
  for (const auto& [peer, estimates] : peer_estimates_) add(estimates);
  if (precisions > 0) combined_weights_[pair] = weights / precisions;
}

bool InterferenceModel::HasChangedNotably(const Estimate& estimate) {
  const double moved = std::abs(estimate.weight - estimate.published_weight);
  return moved > kNotableWeightChange ||
         estimate.variance * kNotableVarianceFactor <
             estimate.published_variance ||
         estimate.published_variance == 0;
}

std::vector<PairEstimate> InterferenceModel::TakeChangedEstimates(
    std::size_t max) {
  const std::lock_guard lock(mutex_);
  std::vector<PairEstimate> changed;
  for (auto& [pair, estimate] : own_estimates_) {
    if (changed.size() == max) break;
    if (!HasChangedNotably(estimate)) continue;
    estimate.published_weight = estimate.weight;
    estimate.published_variance = estimate.variance;
    changed.push_back(
        {pair.first, pair.second, estimate.weight, estimate.variance});
  }
  return changed;
}

void InterferenceModel::MarkAllChanged() {
  const std::lock_guard lock(mutex_);
  for (auto& [pair, estimate] : own_estimates_) estimate.published_variance = 0;
}

std::vector<PairEstimate> InterferenceModel::OwnEstimates() const {
  const std::lock_guard lock(mutex_);
  std::vector<PairEstimate> all;
  all.reserve(own_estimates_.size());
  for (const auto& [pair, estimate] : own_estimates_) {
    all.push_back(
        {pair.first, pair.second, estimate.weight, estimate.variance});
  }
  return all;
}

void InterferenceModel::Restore(std::span<const PairEstimate> estimates) {
  const std::lock_guard lock(mutex_);
  for (const auto& estimate : estimates) {
    if (!(estimate.variance > 0)) continue;
    const Pair pair{estimate.service, estimate.kind};
    own_estimates_[pair].weight = estimate.weight;
    own_estimates_[pair].variance = estimate.variance;
    UpdateCombinedWeight(pair);
  }
}

void InterferenceModel::MergePeerEstimates(
    const std::string& peer, std::span<const PairEstimate> estimates) {
  const std::lock_guard lock(mutex_);
  Estimates& from_peer = peer_estimates_[peer];
  for (const auto& estimate : estimates) {
    if (!(estimate.variance > 0)) continue;
    const Pair pair{estimate.service, estimate.kind};
    from_peer[pair].weight = estimate.weight;
    from_peer[pair].variance = estimate.variance;
    UpdateCombinedWeight(pair);
  }
}

}  // namespace basilspur::interference
