#ifndef BASILSPUR_CELL_LAYOUT_H_
#define BASILSPUR_CELL_LAYOUT_H_

#include <map>
#include <span>
#include <string>
#include <string_view>

#include "jobs/vm_listing.h"

namespace basilspur::cell {

/// How jobs and racks are shared out among cells. Fixed once for a deployment,
/// so that a job and a VM always meet the same owner.
///
/// Thread safety: a plain value.
struct Layout {
  int cells = 0;
  std::map<std::string, int> racks;  ///< Racks that were there at the start.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cells, self.racks);
  }

  /// Precondition: cells > 0.
  int CellOfJob(std::string_view id) const;
  /// Precondition: cells > 0.
  int CellOfRack(const std::string& rack) const;
};

/// Shares the racks of `vms` out among cells of about `vms_per_cell`, whole
/// racks, alike in size. `most` bounds the cells.
Layout MakeLayout(std::span<const jobs::VmListing> vms, int vms_per_cell,
                  int most);

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_LAYOUT_H_
