#ifndef BASILSPUR_JOBS_JOB_PROGRESS_H_
#define BASILSPUR_JOBS_JOB_PROGRESS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jobs/job_spec.h"
#include "jobs/occurrence_set.h"

namespace basilspur::jobs {

/// Status of a job in the journal.
enum class JobStatus { kActive, kDone, kFailed, kCancelled };

constexpr bool IsFinal(JobStatus status) {
  return status != JobStatus::kActive;
}

/// Journal record of an accepted job. Once the job has ended and none of its
/// runs is left, `spec` is empty. `ended_wall_ms` is the time of the end.
struct JobRecord {
  std::string queue;
  std::string service;
  JobSpec spec;
  std::int64_t accepted_wall_ms = 0;
  JobStatus status = JobStatus::kActive;
  /// Of a guest job: when its last task was returned; 0: some are hosted.
  std::int64_t ended_wall_ms = 0;
  int attempts = 1;  ///< As last configured; the queue may be removed.
  int priority = 0;
  /// The cell that has delegated tasks of its job to this one; -1: the job
  /// belongs to this cell.
  int home_cell = -1;
  /// Of the configuration that `service`, `attempts` and `priority` are from;
  /// -1: not known.
  std::int64_t catalog_version = -1;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.queue, self.service, self.spec, self.accepted_wall_ms,
            self.status, self.ended_wall_ms, self.attempts, self.priority,
            self.home_cell, self.catalog_version);
  }
};

/// Which part a host has in a task of a job that belongs to another cell.
enum class HostingState {
  kOwnJob,     ///< The job belongs to this cell.
  kNotHosted,  ///< The task was not delegated to this cell.
  kHosted,
  /// The host runs the task no more, and keeps its result if it is of a kind
  /// that ends.
  kReturned,
  kSettled,  ///< Returned, and the home cell's journal holds the result.
};

/// A delegation of a task that ends. Its result is in the home cell's journal,
/// and the host has not confirmed yet that it knows.
struct Settlement {
  int cell = 0;
  int number = 0;  ///< See Task::delegation.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cell, self.number);
  }
};

/// Journal record of a task that has been started or delegated.
struct TaskRecord {
  int occurrence = 0;
  int step = 0;
  int index = 0;
  bool done = false;
  int failures = 0;
  int last_run = 0;
  std::string checkpoint;
  /// VMs on which runs may still be executing.
  std::vector<std::string> vms;
  /// Numbers of the runs on `vms`, in the same order. Records of earlier
  /// versions have none: `last_run` is the number of all of them.
  std::vector<int> run_numbers;
  int run_base = 0;    ///< See Task::run_base.
  int host_cell = -1;  ///< The cell that the task is delegated to; -1: none.
  HostingState hosting = HostingState::kOwnJob;
  int delegation = 0;  ///< See Task::delegation.
  int crashes = 0;     ///< See Task::crashes.
  /// Numbers of the runs that may have crashed their VMs, which have not
  /// answered since.
  std::vector<int> crashing_runs;
  std::vector<Settlement> unsettled;  ///< See Task::unsettled.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.occurrence, self.step, self.index, self.done, self.failures,
            self.last_run, self.checkpoint, self.vms, self.run_numbers,
            self.run_base, self.host_cell, self.hosting, self.delegation,
            self.crashes, self.crashing_runs, self.unsettled);
  }
};

/// A run whose start the VM may still carry out after the run has ended: see
/// LateStarts.
struct LateStartRecord {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;
  int run = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.job, self.occurrence, self.step, self.index, self.run);
  }
};

/// Journal record of a VM.
struct VmRecord {
  /// Run ends up to this number are in the journal.
  std::int64_t last_end = 0;
  std::string address = {};
  /// See VmReport::worker_start_ms. Each worker numbers its run ends anew.
  std::int64_t worker_start_ms = 0;
  /// Calls that were meant for a former worker may have given this one the
  /// longest lease that VMs grant.
  bool may_hold_long_lease = false;
  std::vector<LateStartRecord> late_starts = {};

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.last_end, self.address, self.worker_start_ms,
            self.may_hold_long_lease, self.late_starts);
  }
};

/// Journal record of a job that is moved to another cell.
struct MoveRecord {
  int cell = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cell);
  }
};

/// Journal record of a job's progress, or of a part of it: see
/// progress_parts.h.
struct ProgressRecord {
  std::vector<TaskRecord> tasks;         ///< None of retired occurrences.
  int finished_occurrences = 0;          ///< Retired ones included.
  std::vector<OccurrenceRange> retired;  ///< See Job::retired.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.tasks, self.finished_occurrences, self.retired);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOB_PROGRESS_H_
