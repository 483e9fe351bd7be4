#ifndef BASILSPUR_JOBS_UNPLACEABLE_TASKS_H_
#define BASILSPUR_JOBS_UNPLACEABLE_TASKS_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "jobs/step_spec.h"

namespace basilspur::jobs {

/// The tasks for which no VM was found during one planning pass. Free capacity
/// only shrinks during a pass, so tasks of the same kind that need as much or
/// more can be skipped. With hundreds of waiting tasks, checking each of them
/// against each VM would take most of an owner's time.
///
/// Thread safety: one thread at a time.
class UnplaceableTasks {
 public:
  /// Records that no VM was found for a task of this step.
  void Add(const StepSpec& spec, const std::string& service);
  /// Whether no VM was found for some task.
  bool HasAny() const { return has_any_; }
  /// Like Covers, but true for each step with a limit of tasks per VM, of which
  /// it is not known.
  bool MayCover(const StepSpec& spec, const std::string& service) const {
    return spec.max_per_vm > 0 || Covers(spec, service);
  }
  /// Returns true if it is known that no VM can host a task of this step.
  bool Covers(const StepSpec& spec, const std::string& service) const;

 private:
  /// Service, image, label, and whether the step is best-effort or
  /// long-running. Steps that differ in one of these may be placed on different
  /// VMs.
  using Kind = std::tuple<std::string, std::string, std::string, bool, bool>;
  static Kind KindOf(const StepSpec& spec, const std::string& service);

  bool has_any_ = false;
  std::map<Kind, std::vector<records::Resources>> needs_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_UNPLACEABLE_TASKS_H_
