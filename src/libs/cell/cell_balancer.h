#ifndef BASILSPUR_CELL_CELL_BALANCER_H_
#define BASILSPUR_CELL_CELL_BALANCER_H_

#include <string_view>
#include <vector>

#include "cell/cell_load.h"
#include "jobs/job_spec.h"

namespace basilspur::cell {

/// Chooses the cell that takes a new job. It answers load that falls unevenly
/// on cells: jobs are wide and last long, so that sharing them out by a hash
/// leaves some cells full while others have a third of their room free.
///
/// A job stays in its own cell unless one of two others, drawn by its id, is
/// clearly less loaded. Loads are a second old, so all owners choosing the
/// least loaded cell would flood it; and what a cell was given is counted
/// there until it tells its load again.
///
/// Thread safety: one thread at a time.
class CellBalancer {
 public:
  /// Precondition: cells > 0.
  explicit CellBalancer(int cells) : loads_(cells) {}

  /// The cell's owner has told its load.
  void OnLoad(int cell, const CellLoad& load) { loads_[cell] = load; }

  /// The cell for the job of `id`, which belongs to `home`; counts it there.
  int Choose(int home, std::string_view id, const jobs::JobSpec& spec);

 private:
  std::vector<CellLoad> loads_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_BALANCER_H_
