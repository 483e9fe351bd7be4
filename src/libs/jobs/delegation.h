#ifndef BASILSPUR_JOBS_DELEGATION_H_
#define BASILSPUR_JOBS_DELEGATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_progress.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// A long-running task that the home cell of its job has delegated to another
/// cell, the host, because no VM of the home cell has capacity for it. The host
/// starts and restarts the task until the home cell recalls it. Once the host
/// has returned a task, it runs it again only under a higher number.
struct DelegatedTask {
  int occurrence = 0;
  int step = 0;
  int index = 0;
  /// Numbers of runs at the host are above this.
  int run_base = 0;
  bool recalled = false;
  /// Counts the delegations of the task from 1, to any host.
  int number = 0;
  int crashes = 0;  ///< See Task::crashes.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.occurrence, self.step, self.index, self.run_base,
            self.recalled, self.number, self.crashes);
  }

  TaskRef RefIn(const std::string& job) const {
    return {job, occurrence, step, index};
  }
};

/// What the home cell wants of a host for one job. It is sent again and again,
/// and may arrive late and in any order.
struct Delegation {
  std::string job;
  JobRecord record;
  std::vector<DelegatedTask> tasks;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.job, self.record, self.tasks);
  }
};

enum class DelegationState {
  kWaiting,    ///< The host has no capacity for the task at present.
  kRunning,    ///< The task has a run.
  kRefused,    ///< There is no such task.
  kReturning,  ///< Recalled; it may have a run, or its return is not durable.
  kReturned,   ///< No run is left, and the host will start none.
};

struct DelegatedTaskReport {
  int occurrence = 0;
  int step = 0;
  int index = 0;
  DelegationState state = DelegationState::kReturning;
  /// kReturned: no run of the host has a higher number.
  int last_run = 0;
  /// The delegation that this is about.
  int number = 0;
  int crashes = 0;  ///< See Task::crashes, as counted by the host.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.occurrence, self.step, self.index, self.state, self.last_run,
            self.number, self.crashes);
  }

  TaskRef RefIn(const std::string& job) const {
    return {job, occurrence, step, index};
  }
};

/// A host's answer to a Delegation.
struct DelegationReport {
  std::vector<DelegatedTaskReport> tasks;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.tasks);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_DELEGATION_H_
