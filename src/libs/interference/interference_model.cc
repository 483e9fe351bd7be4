#include "interference/interference_model.h"

#include <algorithm>
#include <cmath>

namespace basilspur::interference {

/// Assumed of a pair that no one has measured yet.
static constexpr double kUnknownWeight = 0.5;
static constexpr double kUnknownVariance = 4.0;
/// Growth of a weight's variance with each measurement.
static constexpr double kDriftVariance = 0.002;
/// Measurements beyond this are taken for this: one broken report must not
/// undo what was learned.
static constexpr double kMaxSlowdown = 20.0;

/// Peers are told of a weight that has moved so far, or of one that is known
/// so much better.
static constexpr double kNotableWeight = 0.05;
static constexpr double kNotableVarianceFactor = 2.0;

double InterferenceModel::WeightOf(const std::string& service,
                                   std::string_view kind) const {
  const auto found = joined_.find({service, std::string(kind)});
  return found == joined_.end() ? kUnknownWeight : found->second;
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
  const double part = 1 / static_cast<double>(mix.services.size());
  double predicted = 1;
  double innovation_variance = measurement_variance_;
  for (const auto& service : mix.services) {
    for (const auto& [kind, share] : mix.shares) {
      const auto [found, is_new] = own_.try_emplace({service, kind});
      Estimate& estimate = found->second;
      if (is_new) {
        estimate.weight = kUnknownWeight;
        estimate.variance = kUnknownVariance;
      }
      estimate.variance =
          std::min(estimate.variance + kDriftVariance, kUnknownVariance);
      const double factor = share * part;
      predicted += estimate.weight * factor;
      innovation_variance += estimate.variance * factor * factor;
    }
  }
  const double surprise = std::clamp(slowdown, 0.0, kMaxSlowdown) - predicted;
  for (const auto& service : mix.services) {
    for (const auto& [kind, share] : mix.shares) {
      Estimate& estimate = own_.at({service, kind});
      const double factor = share * part;
      const double gain = estimate.variance * factor / innovation_variance;
      estimate.weight = std::max(estimate.weight + gain * surprise, 0.0);
      estimate.variance *= 1 - gain * factor;
      Join({service, kind});
    }
  }
}

void InterferenceModel::Join(const Pair& pair) {
  double weights = 0;
  double precisions = 0;
  const auto add = [&](const Estimates& estimates) {
    const auto found = estimates.find(pair);
    if (found == estimates.end()) return;
    const double precision = 1 / found->second.variance;
    weights += found->second.weight * precision;
    precisions += precision;
  };
  add(own_);
  for (const auto& [peer, estimates] : of_peers_) add(estimates);
  if (precisions > 0) joined_[pair] = weights / precisions;
}

bool InterferenceModel::HasChanged(const Estimate& estimate) {
  const double moved = std::abs(estimate.weight - estimate.told_weight);
  return moved > kNotableWeight ||
         estimate.variance * kNotableVarianceFactor < estimate.told_variance ||
         estimate.told_variance == 0;
}

std::vector<PairEstimate> InterferenceModel::TakeChanged(std::size_t max) {
  const std::lock_guard lock(mutex_);
  std::vector<PairEstimate> changed;
  for (auto& [pair, estimate] : own_) {
    if (changed.size() == max) break;
    if (!HasChanged(estimate)) continue;
    estimate.told_weight = estimate.weight;
    estimate.told_variance = estimate.variance;
    changed.push_back(
        {pair.first, pair.second, estimate.weight, estimate.variance});
  }
  return changed;
}

void InterferenceModel::MarkAllChanged() {
  const std::lock_guard lock(mutex_);
  for (auto& [pair, estimate] : own_) estimate.told_variance = 0;
}

std::vector<PairEstimate> InterferenceModel::Own() const {
  const std::lock_guard lock(mutex_);
  std::vector<PairEstimate> all;
  all.reserve(own_.size());
  for (const auto& [pair, estimate] : own_) {
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
    own_[pair].weight = estimate.weight;
    own_[pair].variance = estimate.variance;
    Join(pair);
  }
}

void InterferenceModel::TakePeer(const std::string& peer,
                                 std::span<const PairEstimate> estimates) {
  const std::lock_guard lock(mutex_);
  Estimates& of_peer = of_peers_[peer];
  for (const auto& estimate : estimates) {
    if (!(estimate.variance > 0)) continue;
    const Pair pair{estimate.service, estimate.kind};
    of_peer[pair].weight = estimate.weight;
    of_peer[pair].variance = estimate.variance;
    Join(pair);
  }
}

}  // namespace basilspur::interference
