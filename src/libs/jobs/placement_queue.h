#ifndef BASILSPUR_JOBS_PLACEMENT_QUEUE_H_
#define BASILSPUR_JOBS_PLACEMENT_QUEUE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "jobs/placer.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

struct StepSpec;
struct Task;

/// The VMs that can host tasks of one step, the one with the lowest cost first.
/// Selects the same VMs as Placer::SelectPlacement, but compares all of them
/// once for the step, and one of them anew for each task that is started.
///
/// Thread safety: one thread at a time.
class PlacementQueue {
 public:
  /// The queue is for the step of `task` at the time `now`. Preconditions: the
  /// references, and the VMs, outlive the queue; of these only those that are
  /// passed to Update change meanwhile.
  PlacementQueue(const Placer& placer, const std::vector<Vm*>& vms,
                 const StepSpec& spec, const std::string& service,
                 const TaskRef& task, Millis now);

  /// Returns the VM with the lowest cost for a run of `task`, which is
  /// identified by `ref`. Precondition: the task is one of the step.
  Placement Select(const TaskRef& ref, const Task& task);
  /// A run was started on the VM. Precondition: it is one of the queue's.
  void Update(const Vm& vm);

 private:
  /// The position of a VM in `vms_`, after its cost.
  using Entry = std::pair<double, std::size_t>;

  struct State {
    double cost = 0;
    /// Empty: the cost is a lower bound, as the pace is not known yet.
    std::optional<int> pace_percent;
    bool queued = false;
  };
  struct Choice {
    Entry entry;
    int pace_percent = 0;
  };

  void Evaluate(std::size_t position);
  void Enqueue(std::size_t position, double cost,
               std::optional<int> pace_percent);
  void Dequeue(std::size_t position);
  /// Completes the cost of a queued VM. Returns false if that has changed its
  /// place in the queue.
  bool Complete(std::size_t position);
  /// Returns the first VM on which the task has not failed.
  std::optional<Choice> First(const Task& task);
  /// Replaces `best` if the VM is better for this very task.
  void Compare(std::size_t position, const TaskRef& ref, const Task& task,
               std::optional<Choice>& best) const;

  const Placer& placer_;
  const std::vector<Vm*>& vms_;
  const StepSpec& spec_;
  const std::string& service_;
  TaskRef any_task_;  ///< No task of the step is identified by it.
  Millis now_;
  std::vector<State> states_;  ///< By position.
  std::set<Entry> queue_;
  std::unordered_map<std::string_view, std::size_t> positions_;
  std::multimap<int, std::size_t> reserved_;  ///< By index of the task.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PLACEMENT_QUEUE_H_
