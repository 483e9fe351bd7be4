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

/// Learns how much kinds of jobs slow down services that they share a VM with:
/// slowdown = 1 + the sum of weight(service, kind) * share(kind). The weights
/// are those of a Kalman filter with a diagonal covariance, so that a surprise
/// is put down to the kinds that are known least. Variances grow with time, for
/// interference shifts with load. Estimates of other entries are joined to the
/// own ones by their precision.
///
/// Thread safety: any thread.
class InterferenceModel {
 public:
  InterferenceModel() = default;
  /// `measurement_variance`: of one measured slowdown.
  explicit InterferenceModel(double measurement_variance)
      : measurement_variance_(measurement_variance) {}

  /// Expected slowdown of the services on a VM with this mix; 1: none.
  double Predict(const Mix& mix) const;

  /// The part of the slowdown that this share of a kind adds.
  double Contribution(const Mix& mix, std::string_view kind,
                      double share) const;

  /// Learns from a slowdown that was measured while this mix ran.
  /// Precondition: slowdown is finite.
  void Observe(const Mix& mix, double slowdown);

  /// What this entry has measured itself and has changed notably since it was
  /// last returned, for its peers; at most `max` pairs.
  std::vector<PairEstimate> TakeChanged(std::size_t max);

  /// All own estimates count as changed, for peers that have come up.
  void MarkAllChanged();

  /// All that this entry has measured itself.
  std::vector<PairEstimate> Own() const;

  /// Takes estimates as measured by this entry, as its predecessor left them.
  void Restore(std::span<const PairEstimate> estimates);

  /// Takes in what a peer has measured anew.
  void TakePeer(const std::string& peer,
                std::span<const PairEstimate> estimates);

 private:
  using Pair = std::pair<std::string, std::string>;  ///< Service, kind.
  struct Estimate {
    double weight = 0;
    double variance = 0;
    double told_weight = 0;    ///< To peers.
    double told_variance = 0;  ///< 0: not told yet.
  };
  using Estimates = std::map<Pair, Estimate>;

  double WeightOf(const std::string& service, std::string_view kind) const;
  void Join(const Pair& pair);
  static bool HasChanged(const Estimate& estimate);

  static constexpr double kMeasurementVariance = 0.02;

  const double measurement_variance_ = kMeasurementVariance;
  mutable std::mutex mutex_;
  Estimates own_;
  std::map<std::string, Estimates> of_peers_;
  std::map<Pair, double> joined_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_INTERFERENCE_MODEL_H_
