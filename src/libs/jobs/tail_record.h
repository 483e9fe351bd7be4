#ifndef BASILSPUR_JOBS_TAIL_RECORD_H_
#define BASILSPUR_JOBS_TAIL_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace basilspur::jobs {

/// How much a best-effort image raises the tail latency of a serving image,
/// that is, an image whose tasks have a tail latency target.
struct TailPairRecord {
  std::string serving_image;
  std::string image;  ///< The best-effort image.
  /// Increase if the best-effort image used all processors of a VM, as a
  /// percentage of the baseline.
  std::int64_t weight_percent = 0;
  std::int64_t variance_percent = 0;  ///< Variance of the weight, times 100.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.serving_image, self.image, self.weight_percent,
            self.variance_percent);
  }
};

/// Tail latency of an image's tasks without best-effort runs on the VM.
struct TailBaselineRecord {
  std::string image;
  std::int64_t mean_us = 0;
  int measurements = 0;  ///< Number of measurements in the mean.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.image, self.mean_us, self.measurements);
  }
};

/// The tail latency estimates of an owner, for its successor and for the owners
/// of other cells.
///
/// Thread safety: a plain value.
struct TailRecord {
  std::vector<TailPairRecord> pairs;
  std::vector<TailBaselineRecord> baselines;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.pairs, self.baselines);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TAIL_RECORD_H_
