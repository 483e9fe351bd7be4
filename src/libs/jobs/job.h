#ifndef BASILSPUR_JOBS_JOB_H_
#define BASILSPUR_JOBS_JOB_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/job_progress.h"
#include "jobs/task_ref.h"

namespace basilspur::jobs {

enum class RunPhase {
  kOrdered,   ///< The start has been sent; no answer yet.
  kRunning,   ///< The VM has it.
  kInDoubt,   ///< The start was not answered; it may take effect later.
  kStopping,  ///< A stop has been ordered; it still counts.
};

/// One run of a task that may be at work.
struct Run {
  int number = 0;
  std::string vm;
  RunPhase phase = RunPhase::kOrdered;
  Millis ordered;     ///< When the last order went out.
  Millis reconciled;  ///< When the VM confirmed the last order.
  Millis began;       ///< When the run was first ordered.
  Millis advanced;    ///< When its progress last rose.
  int starts_sent = 0;
  int percent = 0;
  bool in_doubt = false;  ///< A start went unanswered; it may come late.
  bool stop_confirmed = false;
  bool missing = false;  ///< It has left the VM's list without an end.
};

/// A task and its runs. Thread safety: as its scheduler.
struct Task {
  bool done = false;
  int failures = 0;
  int last_run = 0;
  int recorded_run = 0;  ///< The last one in the journal as it was read.
  std::string checkpoint;
  std::vector<Run> runs;
  std::vector<std::string> failed_on;  ///< VMs to avoid.
  Millis not_before;                   ///< Pause before the next run.

  Run* FindRun(int number) {
    for (Run& run : runs) {
      if (run.number == number) return &run;
    }
    return nullptr;
  }
};

struct Step {
  std::vector<Task> tasks;
  int done = 0;
};

/// One time that the job's steps run.
struct Occurrence {
  int number = 0;
  std::vector<Step> steps;
  int steps_done = 0;
};

/// Where a job stands among those of its priority, in order of service.
enum class ServiceTier {
  kBegun,          ///< A task of it has been started.
  kFresh,          ///< It can wait a while and still be done in time.
  kDeferredBegun,  ///< It was started after it had been deferred.
  kDeferred,       ///< It has waited for too long to be done in time.
};

/// An accepted job. Thread safety: as its scheduler.
struct Job {
  std::string id;
  JobRecord record;
  std::deque<Occurrence> occurrences;  ///< Those that are due and not done.
  int finished_occurrences = 0;
  int next_occurrence = 0;               ///< The next to become due.
  bool accepted = false;                 ///< The journal holds it.
  bool begun = false;                    ///< A task of it has been started.
  bool old = false;                      ///< From before this owner's term.
  JobStatus shown = JobStatus::kActive;  ///< As far as the journal holds it.
  bool record_dirty = false;
  bool progress_dirty = false;
  bool has_progress = false;  ///< The journal holds a progress record.
  Millis accepted_at;
  ServiceTier tier = ServiceTier::kFresh;

  Task& At(const TaskRef& task);
  /// Null if the task is not part of a present occurrence.
  Task* Find(const TaskRef& task);
  Occurrence* FindOccurrence(int number);
  bool DependenciesDone(const Occurrence& occurrence, int step) const;
  /// As Find, but adds the task's occurrence if it has not become due here.
  Task* FindOrAdd(const TaskRef& task);
  /// Adds an occurrence with all its tasks waiting.
  Occurrence& AddOccurrence(int number);
  bool HasRuns() const;
  /// Calls `visit(ref, task, run)` for each run. It must not add or remove any.
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
