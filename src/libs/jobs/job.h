#ifndef BASILSPUR_JOBS_JOB_H_
#define BASILSPUR_JOBS_JOB_H_

#include <cstdint>
#include <deque>
#include <set>
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
  /// When this owner first learned that the VM executes the run; 0: not yet.
  Millis running_since;
  int starts_sent = 0;
  Millis start_sent_at;  ///< When the last start was sent; 0: restored run.
  /// Number of the first journal batch that lists the run; 0: restored run.
  std::int64_t journal_batch = 0;
  int percent = 0;
  bool had_unanswered_start = false;  ///< A start was not answered.
  /// First journal batch that says so. The start is not sent again before a
  /// successor would know of the unanswered one.
  std::int64_t late_start_batch = 0;
  bool stop_confirmed = false;
  /// The VM has closed the connection, and the run may have crashed it.
  bool may_have_crashed_vm = false;
  bool absent = false;  ///< No longer in the VM's reports, without an end.
};

/// A task and its runs.
///
/// Thread safety: same as its scheduler.
struct Task {
  bool done = false;
  int failures = 0;
  /// VMs that runs of the task may have crashed, since a run has last executed
  /// for long enough to be cleared of that.
  int crashes = 0;
  int last_run = 0;
  int journaled_run = 0;  ///< `last_run` in the restored journal.
  std::string checkpoint;
  Millis checkpoint_at;  ///< When `checkpoint` was reported; 0: restored, none.
  std::vector<Run> runs;
  std::vector<std::string> failed_on;  ///< VMs to avoid for further runs.
  Millis not_before;                   ///< Earliest time of the next run.
  /// Added to the numbers that a term's runs start from: another cell has used
  /// numbers up to this.
  int run_base = 0;
  int host_cell = -1;  ///< The cell that the task is delegated to; -1: none.
  HostingState hosting = HostingState::kOwnJob;
  bool recalled = false;  ///< Delegated, and wanted back.
  /// Delegations that were returned and whose hosts still keep the result.
  std::vector<Settlement> unsettled;
  /// Number of the task's last delegation, as its home cell counts them.
  int delegation = 0;
  /// First journal batch that holds the last change of `host_cell` or
  /// `hosting`; 0: restored. No run is started, and no message about it sent,
  /// before it is durable.
  std::int64_t placement_batch = 0;
  int returned_by = -1;  ///< The cell that has returned the task last.
  Millis returned_at;
  /// A run of the task was stopped for a task of higher priority.
  bool preempted = false;
  /// For a place in this cell, be the task its own or hosted; 0: does not wait.
  Millis waiting_since;
  Millis waiting_at_host_since;  ///< For a place there; 0: does not wait.
  bool runs_at_host = false;     ///< As the host has last reported.
  /// Since when this owner knows of no run of a long-running task that a VM has
  /// confirmed; 0: there is one, or none is wanted in this cell.
  Millis without_run_since;
  Millis run_time;  ///< Of the done run; 0: not known, or can have no copies.
  int copies = 0;   ///< That this owner has started.

  /// Whether another cell may run the task, and this one must not.
  bool IsElsewhere() const {
    const bool runs_here =
        hosting == HostingState::kOwnJob || hosting == HostingState::kHosted;
    return host_cell >= 0 || !runs_here;
  }
  /// Keeps what a VM has reported; an empty value says nothing.
  void SaveCheckpoint(const std::string& reported, Millis now);
  /// Whether the task may crash the next VM that starts it.
  bool IsSuspect() const { return crashes > 0; }
  /// Returns the run with this number on `vm`, or null.
  Run* FindRun(int number, std::string_view vm);
};

/// State of a step in one occurrence of a job.
struct Step {
  std::vector<Task> tasks;
  int done = 0;  ///< Number of finished tasks.
  /// Finished in other cells, which is not in this cell's journal yet.
  int undurable_results = 0;

  bool IsDone() const { return done == static_cast<int>(tasks.size()); }
  /// Gives all tasks the checkpoint that was reported last. For gangs: the
  /// checkpoint of any member is valid for all, and all must resume from the
  /// same one.
  void ShareNewestCheckpoint();
};

/// One execution of all steps of a job.
struct Occurrence {
  int number = 0;
  std::vector<Step> steps;

  bool IsDone() const;
  /// Whether a run of a task may be executing.
  bool HasRuns() const;
  /// Whether nothing of the occurrence is left to be done or told to hosts.
  bool IsOver() const;
};

/// Rank of a job among those of its priority; lower values are scheduled first.
enum class JobTier {
  kStarted,          ///< A task of the job has been started in turn.
  kOnTime,           ///< Not started; can still meet its objective.
  kDeferredStarted,  ///< Started after it had been deferred.
  kDeferred,         ///< Has waited too long to meet its objective.
};

/// What a job that has been deferred or is late can still reach.
enum class Lateness {
  kMayBeInTime,  ///< To end within its objective, if it starts now.
  kUseful,       ///< To end while callers still have a use for it.
  kPastUse,      ///< Only to end.
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
  /// Occurrences that are over. They are no longer among `occurrences`, and the
  /// journal keeps no record of their tasks.
  OccurrenceSet retired;
  int durably_retired = 0;  ///< Number of those that the journal lists.
  bool accepted = false;    ///< The job is in the journal.
  bool started = false;     ///< A start of a task has been planned.
  /// A task has begun, or may have: its start was not refused.
  bool begun = false;
  /// Only relief runs of the job have been started; they do not change its
  /// tier.
  bool started_by_relief_only = false;
  bool inherited = false;  ///< Accepted by an earlier owner.
  int copies = 0;          ///< Of its tasks, that this owner has started.
  /// Status as recorded in the journal.
  JobStatus durable_status = JobStatus::kActive;
  bool record_dirty = false;
  bool progress_dirty = false;
  std::set<int> progress_parts;  ///< Of its progress in the journal.
  /// Parts of the progress that have changed since they were last written. A
  /// job may have thousands of tasks, most of which don't change.
  std::set<int> changed_parts;
  bool all_parts_changed = false;
  Millis accepted_at;
  JobTier tier = JobTier::kOnTime;
  /// Position among the late jobs, from 1; 0: see LateJobOrder.
  int late_rank = 0;
  Lateness lateness = Lateness::kMayBeInTime;  ///< Valid if `late_rank` > 0.
  /// Nothing of the late job has run for long although VMs have capacity.
  bool late_and_idle = false;
  /// Since when nothing of the job runs though a task waits; 0: something runs
  /// or no task waits.
  Millis idle_since;

  /// Derives `accepted_at` from the record, whose time of day may be of
  /// another machine. A time in the future counts as now.
  void SetAcceptedAt(std::int64_t wall_ms, Millis now);
  /// Precondition: the task is part of a present occurrence.
  Task& At(const TaskRef& task);
  /// Returns null if the task is not part of a present occurrence.
  Task* Find(const TaskRef& task);
  Occurrence* FindOccurrence(int number);
  bool DependenciesDone(const Occurrence& occurrence, int step) const;
  /// Like Find, but first adds the task's occurrence if it has not become due
  /// at this owner yet and is below OccurrenceLimit.
  Task* FindOrAdd(const TaskRef& task);
  /// Occurrences from this one on don't become due before others are durably
  /// retired, which bounds the number of present tasks.
  int OccurrenceLimit() const;
  /// Returns whether an occurrence was retired.
  bool RetireDoneOccurrences();
  /// Adds an occurrence whose tasks all wait.
  Occurrence& AddOccurrence(int number);
  /// Whether runs of a task may have crashed `max_crashes` VMs.
  bool HasTaskWithCrashes(int max_crashes) const;
  /// Whether a run, or a delegated task, may be executing, or a host has to be
  /// told that a result is settled.
  bool HasRuns() const;
  /// Whether a message about a task has to be sent to a host.
  bool HasDelegatedTasks() const;
  /// Whether a task is hosted, or its result has to be kept.
  bool HostsTasks() const;
  /// Whether the job belongs to another cell, which has delegated tasks of it
  /// to this one.
  bool IsGuest() const { return record.home_cell >= 0; }
  bool IsDeferred() const {
    return tier == JobTier::kDeferred || tier == JobTier::kDeferredStarted;
  }
  /// Whether the job has a run that is not being stopped.
  bool HasActiveRuns() const;
  /// Calls `visit(ref, task, run)` for each run. `visit` must not add or remove
  /// runs.
  template <class Visit>
  void ForEachRun(Visit visit);
  /// Calls `visit(ref, task)` for each task.
  template <class Visit>
  void ForEachTask(Visit visit);
  /// The part of the progress that holds the task has changed.
  void NoteChange(const TaskRef& task);
  /// Returns the progress of the tasks in changed parts.
  ProgressRecord MakeChangedProgress() const;
  void ApplyProgress(const ProgressRecord& progress);

 private:
  /// Adds the occurrences before `end` that are not present.
  void AddOccurrencesBefore(int end);
};

template <class Visit>
void Job::ForEachTask(Visit visit) {
  for (Occurrence& occurrence : occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        const TaskRef ref{id, occurrence.number, static_cast<int>(step),
                          static_cast<int>(index)};
        visit(ref, tasks[index]);
      }
    }
  }
}

template <class Visit>
void Job::ForEachRun(Visit visit) {
  ForEachTask([&](const TaskRef& ref, Task& task) {
    for (Run& run : task.runs) visit(ref, task, run);
  });
}

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOB_H_
