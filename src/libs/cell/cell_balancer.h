#ifndef BASILSPUR_CELL_CELL_BALANCER_H_
#define BASILSPUR_CELL_CELL_BALANCER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cell/cell_load.h"
#include "jobs/job_spec.h"

namespace basilspur::cell {

/// Chooses the cell that runs a new job, so that load is spread evenly over the
/// cells. Jobs are wide and run for long: spread by a hash alone, they fill
/// some cells while others have a third of their capacity free.
///
/// A job stays in its home cell unless one of two others, drawn by its id, is
/// clearly less loaded. Published loads are up to a second old, so if all
/// owners chose the least loaded cell they would overload it. For the same
/// reason an assigned job counts towards its cell until that cell publishes its
/// next load.
///
/// Thread safety: one thread at a time.
class CellBalancer {
 public:
  /// Precondition: cells > 0.
  explicit CellBalancer(int cells) : loads_(cells) {}

  /// The cell's owner has published its load.
  void OnLoad(int cell, const CellLoad& load) { loads_[cell] = load; }

  /// Returns the cell for the job `id`, whose home is `home_cell`, and adds the
  /// job to that cell's load. If `eligible` is not empty, it is one of these.
  int ChooseCell(int home_cell, std::string_view id, const jobs::JobSpec& spec,
                 const std::set<int>& eligible = {});
  /// Returns the cell that should host a task of `home_cell`, which has no
  /// place for it: of those with room on a VM, the one with the largest, or
  /// else of those that will have room once tasks that end have made way. Empty
  /// if there is none. The cell `excluded` is left out, if it is not -1.
  std::optional<int> ChooseHost(int home_cell, const records::Resources& need,
                                int excluded);
  /// Returns the cell that should host a task that requires a label: of those
  /// with room on a VM with the label, the one with the largest. Other
  /// arguments as for ChooseHost.
  std::optional<int> ChooseHostWithLabel(int home_cell,
                                         const records::Resources& need,
                                         const std::string& label,
                                         int excluded);
  /// Returns the least loaded cell of `eligible`, whose VMs can hold the gang
  /// of `step`. Empty if `home_cell` is one of these, or only `excluded`.
  std::optional<int> ChooseHostOfGang(int home_cell, const jobs::StepSpec& step,
                                      const std::set<int>& eligible,
                                      int excluded);
  /// Whether a cell other than `home_cell` publishes room for tasks that end.
  bool HasRoomElsewhere(int home_cell) const;
  /// Returns the cell that should host a task that ends: of those with room on
  /// a VM, the first one after `home_cell`. The tasks of a wide step thus go to
  /// few hosts, and full cells do not all choose the same host. Arguments as
  /// for ChooseHost.
  std::optional<int> ChooseHostOfShortTask(int home_cell,
                                           const records::Resources& need,
                                           int excluded);

 private:
  /// The same by the capacity that is left beside long-running tasks.
  std::optional<int> ChooseHostForLater(int home_cell,
                                        const records::Resources& need,
                                        int excluded);
  /// Draws the cell of a job that its home cell can't run.
  int DrawEligibleCell(std::uint64_t hash, const std::set<int>& eligible,
                       bool best_effort) const;

  std::vector<CellLoad> loads_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_BALANCER_H_
