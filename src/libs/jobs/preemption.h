#ifndef BASILSPUR_JOBS_PREEMPTION_H_
#define BASILSPUR_JOBS_PREEMPTION_H_

#include <string>
#include <vector>

#include "jobs/vm.h"

namespace basilspur::jobs {

/// Runs that were stopped on a VM so that a task of higher priority can start
/// there.
///
/// Thread safety: a plain value.
struct Preemption {
  TaskRef task;
  std::string vm;
  std::vector<RunKey> victims;
  records::Resources free;  ///< On the VM, before the stops.
  Millis report_age;        ///< Of the VM's last report.
  bool logged = false;      ///< See Scheduler::TakePreemptions.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PREEMPTION_H_
