#include "jobs/job.h"

#include <algorithm>

namespace basilspur::jobs {

Run* Task::FindRun(int number, std::string_view vm) {
  for (Run& run : runs) {
    if (run.number == number && run.vm == vm) return &run;
  }
  return nullptr;
}

bool Occurrence::IsDone() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const Step& step) { return step.IsDone(); });
}

Occurrence* Job::FindOccurrence(int number) {
  for (Occurrence& occurrence : occurrences) {
    if (occurrence.number == number) return &occurrence;
  }
  return nullptr;
}

Task* Job::Find(const TaskRef& task) {
  Occurrence* occurrence = FindOccurrence(task.occurrence);
  if (!occurrence || task.step < 0 || task.index < 0) return nullptr;
  const auto step = static_cast<std::size_t>(task.step);
  if (step >= occurrence->steps.size()) return nullptr;
  std::vector<Task>& tasks = occurrence->steps[step].tasks;
  const auto index = static_cast<std::size_t>(task.index);
  return index < tasks.size() ? &tasks[index] : nullptr;
}

Task* Job::FindOrAdd(const TaskRef& task) {
  const bool later = task.occurrence >= next_occurrence &&
                     task.occurrence < record.spec.Occurrences();
  if (later && !record.spec.steps.empty()) {
    while (next_occurrence <= task.occurrence) AddOccurrence(next_occurrence++);
  }
  return Find(task);
}

Task& Job::At(const TaskRef& task) { return *Find(task); }

bool Job::DependenciesDone(const Occurrence& occurrence, int step) const {
  for (const int earlier : record.spec.steps[step].dependencies) {
    if (!occurrence.steps[earlier].IsDone()) return false;
  }
  return true;
}

Occurrence& Job::AddOccurrence(int number) {
  Occurrence& occurrence = occurrences.emplace_back();
  occurrence.number = number;
  for (const StepSpec& spec : record.spec.steps) {
    occurrence.steps.emplace_back().tasks.resize(spec.count);
  }
  return occurrence;
}

static bool IsUntouched(const Task& task) {
  return !task.done && task.last_run == 0 && task.failures == 0;
}

static TaskRecord MakeTaskRecord(const TaskRef& ref, const Task& task) {
  TaskRecord record;
  record.occurrence = ref.occurrence;
  record.step = ref.step;
  record.index = ref.index;
  record.done = task.done;
  record.failures = task.failures;
  record.last_run = task.last_run;
  if (!task.done) record.checkpoint = task.checkpoint;
  for (const Run& run : task.runs) {
    record.vms.push_back(run.vm);
    record.run_numbers.push_back(run.number);
  }
  return record;
}

bool Job::HasRuns() const {
  for (const Occurrence& occurrence : occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const Task& task : step.tasks) {
        if (!task.runs.empty()) return true;
      }
    }
  }
  return false;
}

bool Job::HasActiveRuns() const {
  const auto is_active = [](const Run& run) {
    return run.phase != RunPhase::kStopping;
  };
  for (const Occurrence& occurrence : occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const Task& task : step.tasks) {
        if (std::any_of(task.runs.begin(), task.runs.end(), is_active))
          return true;
      }
    }
  }
  return false;
}

ProgressRecord Job::MakeProgress() const {
  ProgressRecord progress;
  progress.finished_occurrences = finished_occurrences;
  for (const Occurrence& occurrence : occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (IsUntouched(tasks[index])) continue;
        const TaskRef ref{id, occurrence.number, static_cast<int>(step),
                          static_cast<int>(index)};
        progress.tasks.push_back(MakeTaskRecord(ref, tasks[index]));
      }
    }
  }
  return progress;
}

void Job::ApplyProgress(const ProgressRecord& progress) {
  finished_occurrences = progress.finished_occurrences;
  for (const TaskRecord& saved : progress.tasks) {
    Task* task = FindOrAdd({id, saved.occurrence, saved.step, saved.index});
    if (!task) continue;
    task->done = saved.done;
    task->failures = saved.failures;
    task->last_run = saved.last_run;
    task->journaled_run = saved.last_run;
    task->checkpoint = saved.checkpoint;
    started = true;
    if (saved.done) {
      ++FindOccurrence(saved.occurrence)->steps[saved.step].done;
    }
    // Other runs of a finished task may still be executing.
    for (std::size_t i = 0; i < saved.vms.size(); ++i) {
      Run run;
      run.number =
          i < saved.run_numbers.size() ? saved.run_numbers[i] : saved.last_run;
      run.vm = saved.vms[i];
      run.phase = RunPhase::kInDoubt;
      task->runs.push_back(run);
    }
  }
}

}  // namespace basilspur::jobs
