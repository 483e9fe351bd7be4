#ifndef BASILSPUR_METRICS_REGISTRY_H_
#define BASILSPUR_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "metrics/figure.h"
#include "metrics/histogram.h"
#include "metrics/labels.h"

namespace basilspur::metrics {

/// The value of a counter or a gauge.
using ScalarMetric = std::atomic<std::int64_t>;

/// All metrics of a process. A series is created when it is first requested;
/// references to it stay valid for the lifetime of the registry.
///
/// Thread safety: any thread.
class Registry {
 public:
  /// Returns a counter, which must only increase. `name` contains no labels and
  /// ends in "_total".
  ScalarMetric& Counter(const std::string& name, const Labels& labels = {});
  /// Returns a gauge, which may increase and decrease.
  ScalarMetric& Gauge(const std::string& name, const Labels& labels = {});
  /// Returns a histogram of durations. `name` ends in "_seconds".
  Histogram& DurationHistogram(const std::string& name,
                               const Labels& labels = {});

  /// Returns the current values of all series whose name starts with `prefix`.
  std::vector<Figure> CollectFigures(std::string_view prefix) const;

  /// Returns all series in the Prometheus text format.
  std::string Render() const;

 private:
  /// All series of one metric name.
  template <class T>
  struct Family {
    std::map<Labels, std::unique_ptr<T>> series;
  };
  template <class T>
  using Families = std::map<std::string, Family<T>>;

  template <class T>
  T& FindOrCreate(Families<T>& families, const std::string& name,
                  const Labels& labels);
  static void AppendScalarFigures(const Families<ScalarMetric>& families,
                                  std::string_view prefix,
                                  std::vector<Figure>& figures);
  static std::string RenderScalars(const Families<ScalarMetric>& families,
                                   const char* type);

  mutable std::mutex mutex_;
  Families<ScalarMetric> counters_;
  Families<ScalarMetric> gauges_;
  Families<Histogram> histograms_;
};

}  // namespace basilspur::metrics

#endif  // BASILSPUR_METRICS_REGISTRY_H_
