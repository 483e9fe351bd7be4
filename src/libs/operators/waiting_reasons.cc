#include "operators/waiting_reasons.h"

namespace basilspur::operators::internal {

static constexpr std::size_t kMaxComputedReasons = 256;
static constexpr char kReasonWithCapacity[] =
    "a VM has capacity: the job waits for its turn, or for a VM on which it "
    "slows services down less";

std::string WaitingReasons::ReasonFor(const state::Job& job) {
  const records::Resources size = job.Size();
  const TeamAndSize key{job.spec.team, size.cpu_millis, size.memory_mib,
                        size.accelerators};
  auto cached = reasons_.find(key);
  if (cached == reasons_.end()) {
    if (reasons_.size() >= kMaxComputedReasons) {
      return "not computed: too many different job sizes in the list; query "
             "this job by its id";
    }
    cached = reasons_.emplace(key, state_.WaitingReason(job)).first;
  }
  if (!cached->second.empty()) return cached->second;
  return job.detail.empty() ? kReasonWithCapacity : job.detail;
}

}  // namespace basilspur::operators::internal
