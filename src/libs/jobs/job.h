#ifndef BASILSPUR_JOBS_JOB_H_
#define BASILSPUR_JOBS_JOB_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/job_progress.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// Phase of a run as known to the owner.
enum class RunPhase {
  kStarting,  ///< The start command was sent; no answer yet.
  kRunning,   ///< The VM has confirmed the run.
  kInDoubt,   ///< The start command was not answered; it may take effect later.
  kStopping,  ///< A stop command was issued; the run still counts.
};

/// One run of a task that may be executing.
struct Run {
  int number = 0;
  std::string vm;
  RunPhase phase = RunPhase::kStarting;
  Millis last_command_at;  ///< When the last command was sent; 0: restored run.
  /// When the VM last confirmed a command or the run. For a run that is missing
  /// from the reports: when the first report without it was requested.
  Millis confirmed_at;
  Millis created_at;  ///< When the run was started or found; 0: restored run.
  Millis progressed_at;  ///< When `percent` last rose.
  int starts_sent = 0;
  /// Number of the first journal batch that lists the run; 0: restored run.
  std::int64_t journal_batch = 0;
  int percent = 0;
  bool had_unanswered_start = false;  ///< A start was not answered.
  bool stop_confirmed = false;
  bool absent = false;  ///< No longer in the VM's reports, without an end.
};

/// A task and its runs.
///
/// Thread safety: same as its scheduler.
struct Task {
  bool done = false;
  int failures = 0;
  int last_run = 0;
  int journaled_run = 0;  ///< `last_run` in the restored journal.
  std::string checkpoint;
  std::vector<Run> runs;
  std::vector<std::string> failed_on;  ///< VMs to avoid for further runs.
  Millis not_before;                   ///< Earliest time of the next run.

  /// Returns the run with this number on `vm`, or null.
  Run* FindRun(int number, std::string_view vm);
};

/// State of a step in one occurrence of a job.
struct Step {
  std::vector<Task> tasks;
  int done = 0;  ///< Number of finished tasks.

  bool IsDone() const { return done == static_cast<int>(tasks.size()); }
};

/// One execution of all steps of a job.
struct Occurrence {
  int number = 0;
  std::vector<Step> steps;

  bool IsDone() const;
};

/// Rank of a job among those of its priority; lower values are scheduled first.
enum class JobTier {
  kStarted,          ///< A task of the job has been started.
  kOnTime,           ///< Not started; can still meet its objective.
  kDeferredStarted,  ///< Started after it had been deferred.
  kDeferred,         ///< Has waited too long to meet its objective.
};

/// A submitted job and the state of its tasks.
///
/// Thread safety: same as its scheduler.
struct Job {
  std::string id;
  JobRecord record;
  std::deque<Occurrence> occurrences;  ///< Those that have become due.
  int finished_occurrences = 0;
  int next_occurrence = 0;  ///< Number of the next to become due.
  bool accepted = false;    ///< The job is in the journal.
  bool started = false;     ///< A task of the job has been started.
  bool inherited = false;   ///< Accepted by an earlier owner.
  /// Status as recorded in the journal.
  JobStatus durable_status = JobStatus::kActive;
  bool record_dirty = false;
  bool progress_dirty = false;
  bool has_progress_record = false;  ///< The journal has a progress record.
  Millis accepted_at;
  JobTier tier = JobTier::kOnTime;

  /// Precondition: the task is part of a present occurrence.
  Task& At(const TaskRef& task);
  /// Returns null if the task is not part of a present occurrence.
  Task* Find(const TaskRef& task);
  Occurrence* FindOccurrence(int number);
  bool DependenciesDone(const Occurrence& occurrence, int step) const;
  /// Like Find, but first adds the task's occurrence if it has not become due
  /// at this owner yet.
  Task* FindOrAdd(const TaskRef& task);
  /// Adds an occurrence whose tasks all wait.
  Occurrence& AddOccurrence(int number);
  bool HasRuns() const;
  /// Calls `visit(ref, task, run)` for each run. `visit` must not add or remove
  /// runs.
  template <class Visit>
  void ForEachRun(Visit visit);
  ProgressRecord MakeProgress() const;
  void ApplyProgress(const ProgressRecord& progress);
};

template <class Visit>
void Job::ForEachRun(Visit visit) {
  for (Occurrence& occurrence : occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        const TaskRef ref{id, occurrence.number, static_cast<int>(step),
                          static_cast<int>(index)};
        for (Run& run : tasks[index].runs) visit(ref, tasks[index], run);
      }
    }
  }
}

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOB_H_
