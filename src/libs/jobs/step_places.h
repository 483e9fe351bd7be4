#ifndef BASILSPUR_JOBS_STEP_PLACES_H_
#define BASILSPUR_JOBS_STEP_PLACES_H_

#include <string>

namespace basilspur::jobs {

class DataCenterClosures;
struct StepSpec;
struct VmListing;

/// Returns how many places at once a step of this kind needs: for a gang, one
/// for each task.
int PlacesNeeded(const StepSpec& step);

/// Returns how many of the places that the step needs the VM has if nothing
/// else runs there. 0 if it accepts no work of the step.
int CountPlaces(const VmListing& vm, const std::string& service,
                const StepSpec& step, const DataCenterClosures& closures);

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_STEP_PLACES_H_
