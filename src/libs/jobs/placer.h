#ifndef BASILSPUR_JOBS_PLACER_H_
#define BASILSPUR_JOBS_PLACER_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/data_center_closures.h"
#include "jobs/job.h"
#include "jobs/placement_refusal.h"
#include "jobs/run_times.h"
#include "jobs/tail_controller.h"
#include "jobs/vm.h"
#include "jobs/waiting_task.h"

namespace basilspur::jobs {

/// The VM selected for a run, and the pace at which the run starts there.
struct Placement {
  Vm* vm = nullptr;        ///< Null: no VM can host the run.
  int pace_percent = 100;  ///< Percentage of the run's full speed.
  /// The run is started, at a low pace, only so that its job has a run at all:
  /// see Placer::SelectReliefPlacement.
  bool relief = false;
};

/// Selects VMs for tasks. Only computes decisions: neither VMs nor tasks are
/// modified.
///
/// Thread safety: one thread at a time.
class Placer {
 public:
  /// Precondition: `tails`, `closures` and `run_times` outlive the placer.
  Placer(const TailController& tails, const DataCenterClosures& closures,
         const RunTimes& run_times)
      : tails_(tails), closures_(closures), run_times_(run_times) {}

  /// Returns the VM of `vms` with the lowest cost for a run of `task`, which is
  /// identified by `ref`. Of VMs with the same cost it returns the first one.
  /// Compares all VMs; see PlacementQueue for many tasks of a step.
  Placement SelectPlacement(const std::vector<Vm*>& vms, const StepSpec& spec,
                            const std::string& service, const TaskRef& ref,
                            const Task& task, Millis now) const;

  /// Returns the cost of a run on the VM, in thousandths of a core; empty: the
  /// VM can't host it. For a best-effort run it is a lower bound, to be
  /// completed by PaceOn.
  std::optional<double> CostOn(const Vm& vm, const StepSpec& spec,
                               const std::string& service, const TaskRef& ref,
                               const Task& task, Millis now) const;
  /// Returns the pace at which a run would start on a VM for which CostOn
  /// returned a cost, and adds the cost of that pace. Empty: the run would have
  /// to be too slow.
  std::optional<int> PaceOn(const Vm& vm, const StepSpec& spec,
                            double& cost) const;
  /// The part of the cost that is due to a failure of the task on the VM.
  static double FailureCost(const Vm& vm, const Task& task);

  /// Returns an upper bound for how many more runs of the task's step the VM
  /// can host now, at most `max`.
  int CountFreePlaces(const Vm& vm, const StepSpec& spec,
                      const std::string& service, const TaskRef& ref, int max,
                      Millis now) const;

  /// Returns a VM for a best-effort task of a job of which nothing has run for
  /// long. The task may use processors that other best-effort runs use, and may
  /// start at a lower pace than other tasks, on the VM whose tail latencies are
  /// predicted to stay furthest below their targets. VMs with a tail latency
  /// that would be throttled, or with another relief run, are excluded.
  /// Precondition: the step is best-effort.
  Placement SelectReliefPlacement(const std::vector<Vm*>& vms,
                                  const StepSpec& spec,
                                  const std::string& service,
                                  const TaskRef& ref, Millis now) const;

  /// Whether the VM accepts runs of the step at all, whatever runs there now.
  bool IsOpenTo(const Vm& vm, const StepSpec& spec, const std::string& service,
                Millis now) const {
    return !GeneralRefusal(vm, spec, service, now);
  }

  /// Counts the VMs that can host a run of the task, and those that cannot by
  /// the rule that excludes them. Applies the same rules as SelectPlacement.
  PlacementOptions CountOptions(const std::vector<const Vm*>& vms,
                                const StepSpec& spec,
                                const std::string& service, const TaskRef& ref,
                                Millis now) const;

  /// Whether the VM could host a run of the task if enough of its runs ended.
  bool LacksOnlyCapacity(const Vm& vm, const StepSpec& spec,
                         const std::string& service, const TaskRef& ref,
                         Millis now) const;

  /// Whether the VM will have room for a run of the task once only long-running
  /// tasks are left there.
  bool MayHostLater(const Vm& vm, const StepSpec& spec,
                    const std::string& service, const TaskRef& ref,
                    Millis now) const;

  /// Returns the VM that is expected to have capacity for a long-running task
  /// first, once the shorter tasks on it have ended. Null if no VM qualifies or
  /// all that do are reserved.
  Vm* SelectVmToReserve(const std::vector<Vm*>& vms, const StepSpec& spec,
                        const std::string& service, const TaskRef& ref,
                        Millis now) const;

 private:
  /// Returns the rule, if any, by which the VM accepts no runs of the step,
  /// whatever runs there.
  std::optional<PlacementRefusal> GeneralRefusal(const Vm& vm,
                                                 const StepSpec& spec,
                                                 const std::string& service,
                                                 Millis now) const;
  /// Returns the first rule, if any, that excludes the VM; all rules but the
  /// limit of predicted tail latencies are checked.
  std::optional<PlacementRefusal> RefusalOf(const Vm& vm, const StepSpec& spec,
                                            const std::string& service,
                                            const TaskRef& ref,
                                            Millis now) const;
  /// Whether the VM has as many runs of the task's step as that allows.
  static bool IsAtLimit(const Vm& vm, const StepSpec& spec,
                        const TaskRef& ref) {
    return spec.max_per_vm > 0 && vm.CountRunsOfStep(ref) >= spec.max_per_vm;
  }
  /// Whether a VM whose data center may have been opened again a short while
  /// ago already gets this best-effort run.
  bool IsOpenEnoughFor(const Vm& vm, const StepSpec& spec, Millis now) const;
  /// Whether a run of the task would take resources that a planned start of
  /// another task needs.
  bool DelaysPlannedStart(const Vm& vm, const StepSpec& spec,
                          const TaskRef& ref, Millis now) const;
  double Cost(const Vm& vm, const StepSpec& spec, const Task& task,
              Millis now) const;

  const TailController& tails_;
  const DataCenterClosures& closures_;
  const RunTimes& run_times_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PLACER_H_
