#ifndef BASILSPUR_INTERFERENCE_INTERFERENCE_MODEL_H_
#define BASILSPUR_INTERFERENCE_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "interference/mix.h"
#include "interference/pair_estimate.h"

namespace basilspur::interference {

/// Learns how much kinds of jobs slow down the services that they share a VM
/// with: slowdown = 1 + the sum of weight(service, kind) * share(kind),
/// averaged over the services. The weights are estimated by a Kalman filter
/// with a diagonal covariance, which attributes a deviation from the prediction
/// mostly to the kinds with the least certain weights. Variances grow with each
/// measurement, because interference changes with load. Estimates of other
/// entries are combined with the own ones, weighted by their precision.
///
/// Thread safety: any thread.
class InterferenceModel {
 public:
  InterferenceModel() = default;
  /// `measurement_variance`: variance of a single measured slowdown.
  explicit InterferenceModel(double measurement_variance)
      : measurement_variance_(measurement_variance) {}

  /// Returns the expected mean slowdown of the services on a VM with this mix;
  /// 1: none.
  double Predict(const Mix& mix) const;

  /// Returns the increase of the slowdown that is due to this share of a kind.
  double Contribution(const Mix& mix, std::string_view kind,
                      double share) const;

  /// Updates the estimates by a slowdown that was measured with this mix.
  /// Precondition: `slowdown` is finite.
  void Observe(const Mix& mix, double slowdown);

  /// Returns at most `max` own estimates that have changed notably since they
  /// were last returned, to be sent to the peers.
  std::vector<PairEstimate> TakeChangedEstimates(std::size_t max);

  /// Marks all own estimates as changed, so that peers that have joined receive
  /// them.
  void MarkAllChanged();

  /// Returns all estimates that are based on this entry's own measurements.
  std::vector<PairEstimate> OwnEstimates() const;

  /// Restores the own estimates of a predecessor as this entry's own.
  void Restore(std::span<const PairEstimate> estimates);

  /// Updates the stored estimates of a peer with newly received ones.
  void MergePeerEstimates(const std::string& peer,
                          std::span<const PairEstimate> estimates);

 private:
  using Pair = std::pair<std::string, std::string>;  ///< Service, kind.
  struct Estimate {
    double weight = 0;
    double variance = 0;
    double published_weight = 0;    ///< As last returned for the peers.
    double published_variance = 0;  ///< 0: has to be sent to the peers.
  };
  using Estimates = std::map<Pair, Estimate>;

  double WeightOf(const std::string& service, std::string_view kind) const;
  void UpdateCombinedWeight(const Pair& pair);
  static bool HasChangedNotably(const Estimate& estimate);

  static constexpr double kMeasurementVariance = 0.02;

  const double measurement_variance_ = kMeasurementVariance;
  mutable std::mutex mutex_;
  Estimates own_estimates_;
  std::map<std::string, Estimates> peer_estimates_;
  std::map<Pair, double> combined_weights_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_INTERFERENCE_MODEL_H_
