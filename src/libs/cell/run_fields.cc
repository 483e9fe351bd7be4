#include "cell/run_fields.h"

#include <algorithm>

namespace basilspur::cell {

static constexpr std::size_t kMaxLoggedRuns = 8;

std::string RunFields(std::span<const jobs::KnownRun> runs) {
  std::string fields = " runs=" + std::to_string(runs.size());
  const std::size_t logged = std::min(runs.size(), kMaxLoggedRuns);
  for (std::size_t i = 0; i < logged; ++i)
    fields += (i == 0 ? " known=" : ",") + runs[i].ToString();
  return fields;
}

}  // namespace basilspur::cell
