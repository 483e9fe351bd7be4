#ifndef BASILSPUR_JOBS_STEP_PLACES_H_
#define BASILSPUR_JOBS_STEP_PLACES_H_

#include <string>

namespace basilspur::records {
struct Resources;
}

namespace basilspur::jobs {

class DataCenterClosures;
struct StepSpec;
struct VmListing;

/// Returns how many runs that are charged `charge` each fit in `capacity`, at
/// most `max`.
int CountFits(const records::Resources& charge,
              const records::Resources& capacity, int max);

/// Returns how many places at once a step of this kind needs: for a gang, one
/// for each task.
int PlacesNeeded(const StepSpec& step);

/// Returns how many of the places that the step needs the VM has if nothing
/// else runs there. 0 if it accepts no work of the step.
int CountPlaces(const VmListing& vm, const std::string& service,
                const StepSpec& step, const DataCenterClosures& closures);
/// The same for a VM that may drain, or whose data center may be closed.
int CountPlaces(const VmListing& vm, const std::string& service,
                const StepSpec& step);

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_STEP_PLACES_H_
