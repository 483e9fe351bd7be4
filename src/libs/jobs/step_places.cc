#include "jobs/step_places.h"

#include <algorithm>

#include "jobs/data_center_closures.h"
#include "jobs/step_spec.h"
#include "jobs/vm_listing.h"

namespace basilspur::jobs {

int PlacesNeeded(const StepSpec& step) { return step.gang ? step.count : 1; }

int CountPlaces(const VmListing& vm, const std::string& service,
                const StepSpec& step, const DataCenterClosures& closures) {
  const bool has_label =
      step.required_label.empty() || vm.HasLabel(step.required_label);
  const bool accepts_work = vm.service == service && !vm.draining &&
                            !closures.IsClosed(vm.data_center);
  if (!has_label || !accepts_work) return 0;
  int max = PlacesNeeded(step);
  if (step.max_per_vm > 0) max = std::min(max, step.max_per_vm);
  records::Resources left = vm.capacity;
  int count = 0;
  for (; count < max && step.Charge().FitsIn(left); ++count)
    left = left - step.Charge();
  return count;
}

}  // namespace basilspur::jobs
