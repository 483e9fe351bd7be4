#include "jobs/unplaceable_tasks.h"

#include <algorithm>

namespace basilspur::jobs {

UnplaceableTasks::Kind UnplaceableTasks::KindOf(const StepSpec& spec,
                                                const std::string& service) {
  return {service, spec.image, spec.required_label, spec.best_effort,
          spec.long_running};
}

void UnplaceableTasks::Add(const StepSpec& spec, const std::string& service) {
  has_any_ = true;
  // The limit of tasks per VM, rather than the resources needed, may have ruled
  // out the VMs.
  if (spec.max_per_vm > 0) return;
  needs_[KindOf(spec, service)].push_back(spec.need);
}

bool UnplaceableTasks::Covers(const StepSpec& spec,
                              const std::string& service) const {
  const auto found = needs_.find(KindOf(spec, service));
  if (found == needs_.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(),
      [&](const records::Resources& need) { return need.FitsIn(spec.need); });
}

}  // namespace basilspur::jobs
