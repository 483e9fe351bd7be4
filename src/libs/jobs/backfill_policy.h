#ifndef BASILSPUR_JOBS_BACKFILL_POLICY_H_
#define BASILSPUR_JOBS_BACKFILL_POLICY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/placer.h"
#include "jobs/planned_start.h"
#include "jobs/run_times.h"
#include "jobs/step_spec.h"
#include "jobs/vm.h"

namespace basilspur::jobs {

/// Plans the starts of large tasks and of gangs that find no free capacity, by
/// conservative backfill on each VM. Without it, each gap that a small run
/// leaves is filled by the next small task, and large tasks wait until no small
/// ones are left.
///
/// The policy is meant for short tasks that compete for the processors which
/// long-running tasks leave, with a few tasks several times as large as the
/// others. While none of them waits, no start is planned and nothing changes. A
/// start is planned when the task's turn comes before its job is deferred, and
/// kept until the task starts. It holds back tasks of the same and of lower
/// priority, but no long-running tasks.
///
/// Thread safety: one thread at a time.
class BackfillPolicy {
 public:
  /// A task for which no VM has room now, or the first task of such a gang.
  struct UnplacedTask {
    const TaskRef& ref;
    const StepSpec& spec;
    const std::string& service;
    int priority = 0;
    /// The job has not been deferred, so a start may be planned for the task.
    bool in_turn = true;
  };

  /// Precondition: `placer` and `run_times` outlive the policy. `max_starts`:
  /// number of starts that are planned at a time, but for the other tasks of a
  /// gang; 0: none, the policy is off.
  BackfillPolicy(const Placer& placer, const RunTimes& run_times,
                 int max_starts)
      : placer_(placer), run_times_(run_times), max_starts_(max_starts) {}

  /// Begins a plan. Removes all planned starts from the VMs, and forgets those
  /// of tasks that did not wait in the previous plan.
  void BeginPlan(const std::vector<Vm*>& vms);

  /// Adds the planned starts of tasks of this and of more urgent priorities to
  /// the VMs. Call before tasks of this priority are placed.
  void BeginPriority(int priority, const std::vector<Vm*>& vms, Millis now);

  /// Plans the start of the task if it is large, or keeps it.
  void OnUnplaced(const UnplacedTask& task, const std::vector<Vm*>& vms,
                  Millis now);

  /// The same for all tasks of a gang, each on a VM of its own, unless the gang
  /// is too wide for that.
  void OnGangUnplaced(const UnplacedTask& first, const std::vector<Vm*>& vms,
                      Millis now);

  /// A run has been added to the VM.
  void OnStarted(Vm& vm, const RunOnVm& run, Millis now);

  bool HasPlannedStart(const TaskRef& ref) const {
    return choices_.contains(ref);
  }

 private:
  /// The VM that was chosen for a task.
  struct Choice {
    std::string vm;
    StepSpec spec;
    std::string service;
    int priority = 0;
    Millis made_at;
    bool in_force = false;  ///< The start was added to the VM in this plan.
    bool wanted = false;    ///< The task has waited in this plan.
  };

  /// Whether this number of starts may be planned in addition.
  bool HasRoomFor(int starts, const std::vector<Vm*>& vms) const;
  bool IsLarge(const StepSpec& spec) const;
  bool MayPlanOn(const Vm& vm, const StepSpec& spec, const std::string& service,
                 Millis now) const;
  /// Returns when the VM is expected to have room for the resources, and what
  /// is left beside them.
  std::optional<PlannedStart> EarliestStart(const Vm& vm,
                                            const records::Resources& need,
                                            Millis now) const;
  Vm* SelectVm(const StepSpec& spec, const std::string& service,
               const std::vector<Vm*>& vms, Millis now) const;
  /// Adds the start to the chosen VM. Returns false if it is not possible there
  /// any more.
  bool Enforce(const TaskRef& ref, Choice& choice, const std::vector<Vm*>& vms,
               Millis now);
  /// The tasks of a gang start together.
  void AlignGangs(const std::vector<Vm*>& vms) const;
  /// Returns false if no VM qualifies.
  bool PlanStart(const TaskRef& ref, const UnplacedTask& task,
                 const std::vector<Vm*>& vms, Millis now);

  const Placer& placer_;
  const RunTimes& run_times_;
  int max_starts_;
  double mean_cpu_millis_ = 0;  ///< Of the short runs started lately.
  double mean_memory_mib_ = 0;
  std::map<TaskRef, Choice> choices_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_BACKFILL_POLICY_H_
