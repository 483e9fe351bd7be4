#ifndef BASILSPUR_CELL_ELIGIBLE_CELLS_H_
#define BASILSPUR_CELL_ELIGIBLE_CELLS_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "jobs/data_center_closures.h"
#include "jobs/job_spec.h"
#include "jobs/vm_listing.h"

namespace basilspur::cell {

/// The VMs of all cells, by id, and where they may be used.
struct Fleet {
  const std::map<std::string, jobs::VmListing>& vms;
  const jobs::DataCenterClosures& closures;
  std::function<int(const jobs::VmListing& vm)> cell_of;
};

/// Returns the cells whose VMs can run all steps of a job of `service` that
/// require a label or are gangs, if nothing else runs there. Empty if the job
/// has no such step, or no cell can run all of them.
std::set<int> EligibleCells(const Fleet& fleet, const std::string& service,
                            const jobs::JobSpec& spec);

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_ELIGIBLE_CELLS_H_
