#ifndef BASILSPUR_METRICS_LABELS_H_
#define BASILSPUR_METRICS_LABELS_H_

#include <string>
#include <utility>
#include <vector>

namespace basilspur::metrics {

/// Label names and values, which distinguish the series of a metric.
using Labels = std::vector<std::pair<std::string, std::string>>;

/// Returns labels in the Prometheus text format, such as `{a="x",b="y"}`; an
/// empty string if there are no labels.
std::string RenderLabels(const Labels& labels);

}  // namespace basilspur::metrics

#endif  // BASILSPUR_METRICS_LABELS_H_
