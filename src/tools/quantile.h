#ifndef BASILSPUR_TOOLS_QUANTILE_H_
#define BASILSPUR_TOOLS_QUANTILE_H_

#include <cstddef>
#include <span>

namespace basilspur {

/// Returns a quantile of sorted values, rounded down to one of them; 0 if there
/// are none. Precondition: 0 <= quantile <= 1. Thread safety: any thread.
inline double Quantile(std::span<const double> sorted, double quantile) {
  if (sorted.empty()) return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(quantile * last)];
}

}  // namespace basilspur

#endif  // BASILSPUR_TOOLS_QUANTILE_H_
