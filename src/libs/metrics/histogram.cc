#include "metrics/histogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <mutex>
#include <vector>

namespace basilspur::metrics {

namespace bh = boost::histogram;

static constexpr double kMinMillis = 0.05;
static constexpr double kMaxMillis = 100'000;
static constexpr unsigned kBucketCount = 126;
/// Number of buckets that are combined into one bucket of the text format.
static constexpr int kRenderedBucketStep = 6;
static constexpr double kMillisPerSecond = 1'000;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<std::uint64_t>;

class Histogram::Private {
 public:
  Private()
      : buckets(bh::make_histogram_with(
            Storage(), Axis(kBucketCount, kMinMillis, kMaxMillis))) {}

  std::uint64_t BucketValue(int index) const { return buckets.at(index); }

  mutable std::mutex mutex;
  bh::histogram<std::tuple<Axis>, Storage> buckets;
  std::uint64_t total_count = 0;
  double sum_millis = 0;
};

Histogram::Histogram() : d_(std::make_unique<Private>()) {}

Histogram::~Histogram() = default;

void Histogram::Observe(double millis) {
  const std::lock_guard lock(d_->mutex);
  d_->buckets(std::max(millis, kMinMillis));
  ++d_->total_count;
  d_->sum_millis += millis;
}

std::uint64_t Histogram::Count() const {
  const std::lock_guard lock(d_->mutex);
  return d_->total_count;
}

double Histogram::Quantile(double quantile) const {
  const std::lock_guard lock(d_->mutex);
  if (d_->total_count == 0) return 0;
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(d_->total_count)));
  std::uint64_t cumulative_count = 0;
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    cumulative_count += d_->BucketValue(i);
    if (cumulative_count >= rank) return d_->buckets.axis().bin(i).upper();
  }
  return kMaxMillis;
}

std::string Histogram::Render(const std::string& name,
                              const Labels& labels) const {
  const std::lock_guard lock(d_->mutex);
  std::string text;
  Labels bucket_labels = labels;
  bucket_labels.emplace_back("le", "");
  std::uint64_t cumulative_count = 0;
  for (int i = 0; i < static_cast<int>(kBucketCount); ++i) {
    cumulative_count += d_->BucketValue(i);
    if ((i + 1) % kRenderedBucketStep != 0) continue;
    bucket_labels.back().second =
        std::to_string(d_->buckets.axis().bin(i).upper() / kMillisPerSecond);
    text += name + "_bucket" + RenderLabels(bucket_labels) + " " +
            std::to_string(cumulative_count) + "\n";
  }
  bucket_labels.back().second = "+Inf";
  const std::string total_count = std::to_string(d_->total_count);
  text +=
      name + "_bucket" + RenderLabels(bucket_labels) + " " + total_count + "\n";
  text += name + "_sum" + RenderLabels(labels) + " " +
          std::to_string(d_->sum_millis / kMillisPerSecond) + "\n";
  text += name + "_count" + RenderLabels(labels) + " " + total_count + "\n";
  return text;
}

}  // namespace basilspur::metrics
