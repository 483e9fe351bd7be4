#ifndef BASILSPUR_JOBS_SCHEDULER_SETTINGS_H_
#define BASILSPUR_JOBS_SCHEDULER_SETTINGS_H_

#include "base/clock.h"
#include "jobs/tail_watch.h"

namespace basilspur::jobs {

/// Limits and times of a scheduler.
struct SchedulerSettings {
  Millis lease{5'000};      ///< Of all runs of a VM; renewals extend it.
  Millis lease_drift{250};  ///< By which a VM may count a lease longer.
  Millis inherited_lease{
      17'500};                 ///< Longest that an earlier owner's may last.
  Millis start_retry{400};     ///< Between sendings of one start.
  int starts_before_stop = 3;  ///< Sendings without an answer before a stop.
  Millis stop_time{900};       ///< A VM takes at most this long to stop a run.
  Millis stop_margin{200};     ///< And the owner waits this much longer.
  Millis stop_retry{500};      ///< Between sendings of one stop.
  Millis tell_silent{1'000};   ///< Of silence, until successors are told.
  Millis check_interval{100};  ///< Of retries, stalls and paces.
  Millis stall{3'000};         ///< Without progress, until a run is moved.
  Millis quarantine{4'000};    ///< Without new runs, for a VM that fails all.
  int failures_to_quarantine = 3;
  int most_reservations = 4;    ///< VMs kept free for long-running tasks.
  Millis reservation{500};      ///< Until it has to be renewed.
  int most_evacuations = 8;     ///< Tasks of leaving VMs that move at a time.
  Millis status_time{120'000};  ///< How long an ended job is remembered.
  std::size_t max_active_jobs = 4'000;
  Millis yield{700};  ///< At pace 0, until a run is moved.
  TailControllerSettings tails;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SCHEDULER_SETTINGS_H_
