#ifndef BASILSPUR_JOBS_DELEGATION_H_
#define BASILSPUR_JOBS_DELEGATION_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_progress.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// A task that the home cell of its job has delegated to another cell, the
/// host, because no VM of the home cell has capacity for it. The host starts
/// and restarts the task until it is done, has failed too often or waits in
/// vain, or until the home cell recalls it; a long-running task only until
/// then. Once the host has returned a task, it runs it again only under a
/// higher number. It keeps the result of a task that ends until the home cell
/// has settled it.
struct DelegatedTask {
  int occurrence = 0;
  int step = 0;
  int index = 0;
  /// Numbers of runs at the host are above this.
  int run_base = 0;
  bool recalled = false;
  /// Counts the delegations of the task from 1, to any host.
  int number = 0;
  int crashes = 0;   ///< See Task::crashes.
  int failures = 0;  ///< Failed runs in all cells before this delegation.
  std::string checkpoint;
  /// The result of this delegation is in the home cell's journal, so the host
  /// may forget it. Nothing else is wanted.
  bool settled = false;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.occurrence, self.step, self.index, self.run_base,
            self.recalled, self.number, self.crashes, self.failures,
            self.checkpoint, self.settled);
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
  /// How long the host may keep back its answer until there is news.
  std::int64_t wait_ms = 0;
  /// How long the host had served no delegation of the home cell when this one
  /// was sent.
  std::int64_t unserved_ms = 0;
  /// Occurrences that the home cell has retired.
  std::vector<OccurrenceRange> retired;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.job, self.record, self.tasks, self.wait_ms, self.unserved_ms,
            self.retired);
  }
};

enum class DelegationState {
  kWaiting,    ///< The host has no capacity for the task at present.
  kRunning,    ///< The task has a run.
  kRefused,    ///< There is no such task.
  kReturning,  ///< Recalled; it may have a run, or its return is not durable.
  kReturned,   ///< No run is left, and the host will start none.
  kSettled,    ///< The host keeps no result of this delegation.
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
  // The result; valid if the state is kReturned.
  bool done = false;
  int failures = 0;  ///< Failed runs in all cells so far.
  std::string checkpoint;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.occurrence, self.step, self.index, self.state, self.last_run,
            self.number, self.crashes, self.done, self.failures,
            self.checkpoint);
  }

  TaskRef RefIn(const std::string& job) const {
    return {job, occurrence, step, index};
  }
};

/// A host's answer to a Delegation.
struct DelegationReport {
  std::vector<DelegatedTaskReport> tasks;
  /// The rows state results. Entries of earlier versions report a task that is
  /// done as one that was not.
  bool states_results = false;
  /// Hosted tasks that were recalled while this report was made. Not sent.
  int recalls = 0;

  /// Whether the home cell has to act on the report.
  bool HasNews() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const DelegatedTaskReport& row) {
                         return row.state == DelegationState::kReturned ||
                                row.state == DelegationState::kSettled;
                       });
  }

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.tasks, self.states_results);
  }
};

/// Numbers of tasks that end and that an owner has delegated to other cells,
/// and of those that came back done or not done.
struct DelegationCounts {
  std::int64_t delegated = 0;
  std::int64_t done = 0;
  std::int64_t returned = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_DELEGATION_H_
