#ifndef BASILSPUR_INTERFERENCE_PAIR_ESTIMATE_H_
#define BASILSPUR_INTERFERENCE_PAIR_ESTIMATE_H_

#include <cstddef>
#include <string>

#include "base/clock.h"

namespace basilspur::interference {

/// Interval at which an entry sends changed estimates to its peers, and maximum
/// number of estimates sent at once.
inline constexpr Millis kEstimateExchangeInterval(5'000);
inline constexpr std::size_t kMaxEstimatesPerExchange = 32;

/// An entry's estimate of how much jobs of a kind slow down a service.
struct PairEstimate {
  std::string service;
  std::string kind;
  /// Additional slowdown if jobs of this kind used all processors of the VM.
  double weight = 0;
  double variance = 0;  ///< Variance of the weight.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.service, self.kind, self.weight, self.variance);
  }
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_PAIR_ESTIMATE_H_
