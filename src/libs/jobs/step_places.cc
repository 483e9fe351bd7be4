#include "jobs/step_places.h"

#include <algorithm>

#include "jobs/data_center_closures.h"
#include "jobs/step_spec.h"
#include "jobs/vm_listing.h"

namespace basilspur::jobs {

/// Returns how often `part` fits in `whole`, at most `max`.
static int CountParts(std::int64_t whole, std::int64_t part, int max) {
  if (part <= 0) return whole < 0 ? 0 : max;
  return static_cast<int>(
      std::clamp(whole / part, std::int64_t{0}, std::int64_t{max}));
}

int CountFits(const records::Resources& charge,
              const records::Resources& capacity, int max) {
  max = CountParts(capacity.cpu_millis, charge.cpu_millis, max);
  max = CountParts(capacity.memory_mib, charge.memory_mib, max);
  return CountParts(capacity.accelerators, charge.accelerators, max);
}

int PlacesNeeded(const StepSpec& step) { return step.gang ? step.count : 1; }

int CountPlaces(const VmListing& vm, const std::string& service,
                const StepSpec& step, const DataCenterClosures& closures) {
  const bool accepts_work = !vm.draining && !closures.IsClosed(vm.data_center);
  return accepts_work ? CountPlaces(vm, service, step) : 0;
}

int CountPlaces(const VmListing& vm, const std::string& service,
                const StepSpec& step) {
  const bool has_label =
      step.required_label.empty() || vm.HasLabel(step.required_label);
  if (!has_label || vm.service != service) return 0;
  int max = PlacesNeeded(step);
  if (step.max_per_vm > 0) max = std::min(max, step.max_per_vm);
  return CountFits(step.Charge(), vm.capacity, max);
}

}  // namespace basilspur::jobs
