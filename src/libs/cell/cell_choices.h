#ifndef BASILSPUR_CELL_CELL_CHOICES_H_
#define BASILSPUR_CELL_CELL_CHOICES_H_

#include <functional>

#include "cell/cell_owner.h"

namespace basilspur::cell {

class CellBalancer;
struct Fleet;

/// Sets the callbacks by which an owner chooses the cells of jobs and the hosts
/// of tasks: by the loads that `balancer` knows, and by the VMs of the fleet.
/// Precondition: `balancer`, and what the fleet refers to, outlive the
/// callbacks.
void AddCellChoices(CellOwner::Callbacks& callbacks, CellBalancer& balancer,
                    std::function<Fleet()> make_fleet);

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_CHOICES_H_
