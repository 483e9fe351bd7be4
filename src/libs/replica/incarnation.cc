#include "replica/incarnation.h"

#include <algorithm>

namespace basilspur::replica {

/// Random part of an incarnation number. It distinguishes incarnations that
/// start within the same millisecond, with high probability.
static constexpr std::int64_t kRandomRange = 1'024;

std::int64_t NextIncarnation(const state::ClusterState& state,
                             const std::string& name, Millis wall_now,
                             Random& random) {
  const auto found = state.MemberTable().find(name);
  const std::int64_t highest =
      found == state.MemberTable().end() ? 0 : found->second.incarnation;
  const std::int64_t base = std::max(highest, wall_now.count * kRandomRange);
  return base + 1 + static_cast<std::int64_t>(random.Below(kRandomRange));
}

}  // namespace basilspur::replica
