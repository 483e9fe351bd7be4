#ifndef BASILSPUR_OPERATORS_WAITING_REASONS_H_
#define BASILSPUR_OPERATORS_WAITING_REASONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "state/cluster_state.h"

namespace basilspur::operators::internal {

/// Computes why jobs wait. The state can't change while a list is made, so the
/// reason is computed once for all jobs of the same team and size. The number
/// of computed reasons is limited, because each one compares a job with the
/// VMs.
///
/// Thread safety: one thread at a time.
class WaitingReasons {
 public:
  /// Precondition: `state` does not change while the object lives.
  explicit WaitingReasons(const state::ClusterState& state) : state_(state) {}

  /// Returns the reason for an operator. Precondition: the job is waiting.
  std::string ReasonFor(const state::Job& job);

 private:
  using TeamAndSize =
      std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>;

  const state::ClusterState& state_;
  std::map<TeamAndSize, std::string> reasons_;  ///< Empty: a VM has capacity.
};

}  // namespace basilspur::operators::internal

#endif  // BASILSPUR_OPERATORS_WAITING_REASONS_H_
