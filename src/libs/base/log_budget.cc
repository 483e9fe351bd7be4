#include "base/log_budget.h"

#include <algorithm>

namespace basilspur {

static constexpr std::string_view kEventField = "event=";
static constexpr double kMillisPerSecond = 1'000;

std::string_view LogBudget::KindOf(std::string_view sentence) {
  if (!sentence.starts_with(kEventField)) return {};
  sentence.remove_prefix(kEventField.size());
  return sentence.substr(0, sentence.find(' '));
}

std::int64_t LogBudget::Take(std::string_view sentence, Millis now) {
  const std::string_view kind = KindOf(sentence);
  auto found = buckets_.find(kind);
  if (found == buckets_.end()) {
    found = buckets_.emplace(kind, Bucket{limits_.burst, now, 0}).first;
  }
  Bucket& bucket = found->second;
  const double seconds =
      static_cast<double>((now - bucket.filled).count) / kMillisPerSecond;
  bucket.lines = std::min(limits_.burst,
                          bucket.lines + seconds * limits_.lines_per_second);
  bucket.filled = now;
  if (bucket.lines < 1) {
    ++bucket.left_out;
    return -1;
  }
  bucket.lines -= 1;
  const std::int64_t left_out = bucket.left_out;
  bucket.left_out = 0;
  return left_out;
}

void LogBudget::OnDropped(std::string_view sentence, std::int64_t lines) {
  const auto found = buckets_.find(KindOf(sentence));
  if (found != buckets_.end()) found->second.left_out += lines;
}

}  // namespace basilspur
