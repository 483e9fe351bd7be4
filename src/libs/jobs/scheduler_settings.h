#ifndef BASILSPUR_JOBS_SCHEDULER_SETTINGS_H_
#define BASILSPUR_JOBS_SCHEDULER_SETTINGS_H_

#include "base/clock.h"
#include "jobs/lease_authority.h"
#include "jobs/tail_controller.h"

namespace basilspur::jobs {

/// Limits of relief runs: see Placer::SelectReliefPlacement.
struct ReliefLimits {
  /// Time for which nothing of a job may run though a best-effort task waits,
  /// before one of its tasks is started as a relief run.
  Millis delay;
  int max_runs = 0;  ///< At a time, in the cell.
};

/// Limits and times of a scheduler.
struct SchedulerSettings {
  /// Duration of the lease that covers all runs of a VM. Renewals extend it.
  Millis lease_duration{5'000};
  /// How much longer a lease may last on a VM's clock than on the owner's.
  Millis lease_clock_drift{250};
  /// Longest lease that a VM grants, whatever deadline it is sent.
  Millis max_vm_lease{10'000};
  /// Upper bound of the time that a lease of an earlier owner still lasts.
  Millis max_inherited_lease{17'500};
  LeaseAuthoritySettings lease_authority;
  /// Interval at which an unanswered start command is resent.
  Millis start_retry_interval{400};
  /// How long after it was sent a VM may carry out a start that it does not
  /// answer.
  Millis max_start_delay{12'500};
  /// Number of unanswered start commands after which the run is stopped.
  int max_start_attempts = 3;
  /// Upper bound of the time that a VM takes to stop a run.
  Millis max_stop_duration{900};
  /// How much longer than `max_stop_duration` the owner waits.
  Millis stop_margin{200};
  /// Interval at which an unconfirmed stop command is resent.
  Millis stop_retry_interval{500};
  /// How long a VM has to be unreachable before the owner records that for its
  /// successors.
  Millis unreachable_record_delay{1'000};
  /// Interval between checks for retries, stalled runs and paces.
  Millis check_interval{100};
  /// Time without progress after which a run is moved to another VM.
  Millis stall_timeout{3'000};
  /// How long a VM on which runs fail one after another gets no new runs.
  Millis quarantine_duration{4'000};
  /// Number of consecutive failures after which a VM is quarantined.
  int quarantine_failures = 3;
  /// A run that crashes its VM does so within this time of its start, in which
  /// the VM gets no other runs if the task is suspected.
  Millis max_time_to_crash{500};
  /// Number of VMs that a task may have crashed after which its job fails.
  int max_crashes = 3;
  /// Maximum percentage of the VMs that are isolated at a time.
  int max_isolated_vms_percent = 50;
  /// Maximum number of VMs with capacity reserved for long-running tasks: this
  /// many, or this percentage of the VMs if that is more.
  int max_reservations = 4;
  int max_reserved_vms_percent = 20;
  /// How long a long-running task that has not run yet takes its turn by the
  /// order of jobs, before it comes ahead of all tasks that end.
  Millis max_first_start_delay{1'000};
  /// Time after which a reservation expires unless it is renewed.
  Millis reservation_duration{500};
  /// Number of starts after which a plan ends. The tasks of a gang are started
  /// together all the same.
  int max_starts_per_plan = 200;
  /// Maximum number of starts of large tasks that are planned at a time: see
  /// BackfillPolicy. 0: none.
  int max_planned_starts = 0;
  /// Maximum number of tasks that are being moved off draining VMs.
  int max_concurrent_evacuations = 8;
  /// How long a long-running task waits for a place before it is delegated.
  Millis delegation_delay{700};
  /// The same if a VM of its cell is reserved for it.
  Millis reserved_delegation_delay{2'000};
  /// The same for a task that ends and that no VM of its cell will have room
  /// for, so that at least two plans have found no place.
  Millis min_delegation_delay{100};
  /// How long a task that ends waits for a place at its host before it is
  /// returned; best-effort tasks wait for `max_wait_at_host`. A job of 1 s with
  /// an objective of 1.5 times that plus 250 ms can wait for 750 ms, which has
  /// to suffice for a second host.
  Millis max_short_wait_at_host{100};
  /// How long a host may keep back its answer about tasks that end. Less than
  /// the time-out of the request.
  Millis max_delegation_hold{500};
  /// Shortest interval at which delegations of tasks that end are sent again.
  Millis min_delegation_interval{20};
  /// Interval at which a delegation is sent again, and the same while a task is
  /// recalled.
  Millis delegation_interval{1'000};
  Millis recall_interval{200};
  /// How long a delegated task waits for a place at its host before it is
  /// recalled.
  Millis max_wait_at_host{1'500};
  /// The same for a gang, which needs several places at once. The VMs of its
  /// host can hold it, and those of its home cell can't.
  Millis max_gang_wait_at_host{10'000};
  /// How long a cell is not asked again to host a task that it has returned.
  Millis host_cooldown{3'000};
  /// How long the status of an ended job is kept.
  Millis ended_job_retention{120'000};
  std::size_t max_active_jobs = 4'000;
  /// Time at pace 0 after which a best-effort run is moved to another VM.
  Millis zero_pace_timeout{700};
  /// Limits of relief runs, and those while more than
  /// `max_idle_charge_percent` of the processors are charged. Then each relief
  /// run of a job that is late delays jobs that are on time.
  ReliefLimits relief{Millis(2'000), 32};
  ReliefLimits busy_relief{Millis(15'000), 8};
  int max_idle_charge_percent = 60;
  /// A task of priority 0 that no VM has capacity for may stop runs of queues
  /// of lower priority.
  bool preempt = false;
  /// Late jobs are served in the order of LateJobOrder, rather than all at the
  /// same time.
  bool complete_late_jobs = false;
  /// Maximum number of relief runs that are started at once.
  int max_relief_starts = 8;
  TailControllerSettings tails;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SCHEDULER_SETTINGS_H_
