#ifndef BASILSPUR_JOBS_DELEGATION_POLICY_H_
#define BASILSPUR_JOBS_DELEGATION_POLICY_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/scheduler_settings.h"
#include "jobs/step_spec.h"

namespace basilspur::jobs {

/// What the VMs of a cell offer: for each VM that accepts work, the capacity
/// that is left once only long-running tasks run there.
///
/// Thread safety: a plain value.
struct CellCapacity {
  struct Vm {
    std::string service;
    records::Resources beside_long_running;
    std::string kind = {};
    std::string rack = {};

    /// Whether tasks of the step may run there.
    bool MayHost(const std::string& service_of_step,
                 const StepSpec& step) const {
      const std::string& label = step.required_label;
      return service == service_of_step &&
             (label.empty() || label == kind || label == rack);
    }
  };
  std::vector<Vm> vms;

  /// Whether a VM of the service accepts work, with the label of the step if
  /// that requires one.
  bool HasVms(const std::string& service, const StepSpec& step) const;
  /// Whether a task of the step fits on such a VM once the shorter tasks on it
  /// have ended.
  bool WillFit(const std::string& service, const StepSpec& step) const;
};

/// Decides which tasks without a place another cell should host, and when.
///
/// The load that this answers: cells that are filled unevenly. Long-running
/// tasks charge four fifths of all processors and fill one cell, or a cell
/// loses its VMs, while another has room; and 11.5 short jobs per second, with
/// steps of 10 tasks of about a second, have an objective of 1.5 times their
/// critical path plus 250 ms, so they can wait for about half a second. A task
/// that no VM of its cell will have room for is delegated at once. One that
/// shorter tasks keep out waits for a part of its job's slack first, since a
/// place usually becomes free within a second, and a delegation costs four
/// journal records.
///
/// Thread safety: one thread at a time.
class DelegationPolicy {
 public:
  /// Precondition: `settings` outlive the policy.
  explicit DelegationPolicy(const SchedulerSettings& settings)
      : settings_(settings) {}

  /// Returns how long a task of the step, for which there is no place now,
  /// waits before it is delegated; empty: it stays in its cell. `max_wait` is
  /// how long its job may wait without being late; empty: unknown.
  std::optional<Millis> DelayOf(const StepSpec& spec,
                                const std::string& service,
                                const CellCapacity& capacity,
                                std::optional<Millis> max_wait) const;

  /// Returns how long a task waits for a place at its host before the host
  /// returns it; a long-running one only if it will have no place there.
  Millis MaxWaitAtHost(const StepSpec& spec) const;

  /// Returns how long a task waits for a place at its host before its home cell
  /// recalls it.
  Millis MaxWaitBeforeRecall(const StepSpec& spec) const;

 private:
  const SchedulerSettings& settings_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_DELEGATION_POLICY_H_
