#ifndef BASILSPUR_CELL_LAYOUT_H_
#define BASILSPUR_CELL_LAYOUT_H_

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "jobs/vm_listing.h"

namespace basilspur::cell {

/// Assigns jobs and racks to cells. It is fixed once for a deployment, so that
/// the home cell of a job and the cell of a VM never change.
///
/// Thread safety: a plain value.
struct Layout {
  int cells = 0;
  /// Cells of the racks that were listed when the layout was made.
  std::map<std::string, int> cell_by_rack;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cells, self.cell_by_rack);
  }

  /// Precondition: cells > 0.
  int CellOfJob(std::string_view id) const;
  /// Precondition: cells > 0.
  int CellOfRack(const std::string& rack) const;
};

/// Distributes the racks of `vms` over at most `max_cells` cells of similar
/// size, with about `vms_per_cell` VMs each. A rack is never split. With
/// `spread_data_centers` each cell gets about as many VMs of each data center.
Layout MakeLayout(std::span<const jobs::VmListing> vms, int vms_per_cell,
                  int max_cells, bool spread_data_centers = false);

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_LAYOUT_H_
