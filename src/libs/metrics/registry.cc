#include "metrics/registry.h"

namespace basilspur::metrics {

template <class T>
T& Registry::FindOrCreate(Families<T>& families, const std::string& name,
                          const Labels& labels) {
  const std::lock_guard lock(mutex_);
  std::unique_ptr<T>& series = families[name].series[labels];
  if (!series) series = std::make_unique<T>();
  return *series;
}

ScalarMetric& Registry::Counter(const std::string& name, const Labels& labels) {
  return FindOrCreate(counters_, name, labels);
}

ScalarMetric& Registry::Gauge(const std::string& name, const Labels& labels) {
  return FindOrCreate(gauges_, name, labels);
}

Histogram& Registry::DurationHistogram(const std::string& name,
                                       const Labels& labels) {
  return FindOrCreate(histograms_, name, labels);
}

std::string Registry::RenderScalars(const Families<ScalarMetric>& families,
                                    const char* type) {
  std::string text;
  for (const auto& [name, family] : families) {
    text += "# TYPE " + name + " " + type + "\n";
    for (const auto& [labels, metric] : family.series) {
      text += name + RenderLabels(labels) + " " +
              std::to_string(metric->load()) + "\n";
    }
  }
  return text;
}

void Registry::AppendScalarFigures(const Families<ScalarMetric>& families,
                                   std::string_view prefix,
                                   std::vector<Figure>& figures) {
  for (const auto& [name, family] : families) {
    if (!name.starts_with(prefix)) continue;
    for (const auto& [labels, metric] : family.series) {
      figures.push_back({name, labels, false, metric->load(), 0, 0});
    }
  }
}

std::vector<Figure> Registry::CollectFigures(std::string_view prefix) const {
  constexpr double kMedianQuantile = 0.5;
  constexpr double kTailQuantile = 0.99;
  const std::lock_guard lock(mutex_);
  std::vector<Figure> figures;
  AppendScalarFigures(counters_, prefix, figures);
  AppendScalarFigures(gauges_, prefix, figures);
  for (const auto& [name, family] : histograms_) {
    if (!name.starts_with(prefix)) continue;
    for (const auto& [labels, histogram] : family.series) {
      figures.push_back({name, labels, true,
                         static_cast<std::int64_t>(histogram->Count()),
                         histogram->Quantile(kMedianQuantile),
                         histogram->Quantile(kTailQuantile)});
    }
  }
  return figures;
}

std::string Registry::Render() const {
  const std::lock_guard lock(mutex_);
  std::string text = RenderScalars(counters_, "counter");
  text += RenderScalars(gauges_, "gauge");
  for (const auto& [name, family] : histograms_) {
    text += "# TYPE " + name + " histogram\n";
    for (const auto& [labels, histogram] : family.series) {
      text += histogram->Render(name, labels);
    }
  }
  return text;
}

}  // namespace basilspur::metrics
