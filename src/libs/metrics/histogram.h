#ifndef BASILSPUR_METRICS_HISTOGRAM_H_
#define BASILSPUR_METRICS_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <string>

#include "metrics/labels.h"

namespace basilspur::metrics {

/// A histogram of durations with logarithmic buckets from 0.05 ms to 100 s.
///
/// Thread safety: any thread.
class Histogram {
 public:
  Histogram();
  ~Histogram();

  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  /// Adds one duration in milliseconds.
  void Observe(double millis);

  /// Number of observations.
  std::uint64_t Count() const;

  /// Returns the upper bound in milliseconds of the bucket that contains the
  /// quantile; 0 if there are no observations. Precondition: 0 <= quantile
  /// <= 1.
  double Quantile(double quantile) const;

  /// Returns the series in the Prometheus text format, in seconds.
  std::string Render(const std::string& name, const Labels& labels) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::metrics

#endif  // BASILSPUR_METRICS_HISTOGRAM_H_
