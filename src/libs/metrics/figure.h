#ifndef BASILSPUR_METRICS_FIGURE_H_
#define BASILSPUR_METRICS_FIGURE_H_

#include <cstdint>
#include <string>

#include "metrics/labels.h"

namespace basilspur::metrics {

/// The value of one metric series at one point in time.
struct Figure {
  std::string name;
  Labels labels;
  bool is_times = false;  ///< True for a histogram of durations.
  /// The value of a counter or gauge; the number of observations of a
  /// histogram.
  std::int64_t value = 0;
  double p50_ms = 0;  ///< Median of a histogram, else 0.
  double p99_ms = 0;  ///< 99th percentile of a histogram, else 0.
};

}  // namespace basilspur::metrics

#endif  // BASILSPUR_METRICS_FIGURE_H_
