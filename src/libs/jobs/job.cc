#include "jobs/job.h"

#include <algorithm>
#include <tuple>

#include "jobs/progress_parts.h"

namespace basilspur::jobs {

/// Bounds the memory that a job takes. Occurrences may overlap, so two are
/// present at a time however many tasks they have.
static constexpr int kMaxPresentTasks = 10'000;
static constexpr int kMinPresentOccurrences = 2;

void Task::SaveCheckpoint(const std::string& reported, Millis now) {
  if (reported.empty()) return;
  checkpoint = reported;
  checkpoint_at = now;
}

void Step::ShareNewestCheckpoint() {
  const auto newest = std::max_element(
      tasks.begin(), tasks.end(), [](const Task& a, const Task& b) {
        return std::tuple(a.checkpoint_at.count, !a.checkpoint.empty()) <
               std::tuple(b.checkpoint_at.count, !b.checkpoint.empty());
      });
  if (newest == tasks.end()) return;
  const Task source = *newest;
  for (Task& task : tasks) {
    task.checkpoint = source.checkpoint;
    task.checkpoint_at = source.checkpoint_at;
  }
}

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

bool Occurrence::HasRuns() const {
  return std::any_of(steps.begin(), steps.end(), [](const Step& step) {
    return std::any_of(step.tasks.begin(), step.tasks.end(),
                       [](const Task& task) { return !task.runs.empty(); });
  });
}

bool Occurrence::IsOver() const {
  if (!IsDone() || HasRuns()) return false;
  return std::all_of(steps.begin(), steps.end(), [](const Step& step) {
    return std::all_of(step.tasks.begin(), step.tasks.end(),
                       [](const Task& task) {
                         return task.host_cell < 0 && task.unsettled.empty();
                       });
  });
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
  if (IsGuest()) {
    const bool missing =
        task.occurrence >= 0 && task.occurrence < record.spec.Occurrences() &&
        !FindOccurrence(task.occurrence) && !retired.Contains(task.occurrence);
    if (missing) AddOccurrence(task.occurrence);
  } else if (task.occurrence < OccurrenceLimit()) {
    AddOccurrencesBefore(task.occurrence + 1);
  }
  return Find(task);
}

void Job::AddOccurrencesBefore(int end) {
  end = std::min(end, record.spec.Occurrences());
  if (record.spec.steps.empty()) return;
  for (; next_occurrence < end; ++next_occurrence) {
    if (!retired.Contains(next_occurrence)) AddOccurrence(next_occurrence);
  }
}

int Job::OccurrenceLimit() const {
  int tasks = 0;
  for (const StepSpec& step : record.spec.steps) tasks += step.count;
  const int present =
      std::max(kMaxPresentTasks / std::max(tasks, 1), kMinPresentOccurrences);
  return std::min(durably_retired + present, record.spec.Occurrences());
}

bool Job::RetireDoneOccurrences() {
  const auto removed =
      std::erase_if(occurrences, [&](const Occurrence& occurrence) {
        if (!occurrence.IsOver()) return false;
        retired.Add({occurrence.number, occurrence.number + 1});
        return true;
      });
  return removed > 0;
}

void Job::SetAcceptedAt(std::int64_t wall_ms, Millis now) {
  const std::int64_t age = wall_ms - record.accepted_wall_ms;
  accepted_at = now - Millis(std::max(age, std::int64_t{0}));
}

Task& Job::At(const TaskRef& task) { return *Find(task); }

bool Job::DependenciesDone(const Occurrence& occurrence, int step) const {
  // The home cell delegates tasks only after their dependencies.
  if (IsGuest()) return true;
  for (const int earlier : record.spec.steps[step].dependencies) {
    const Step& before = occurrence.steps[earlier];
    if (!before.IsDone() || before.undurable_results > 0) return false;
  }
  return true;
}

Occurrence& Job::AddOccurrence(int number) {
  Occurrence& occurrence = occurrences.emplace_back();
  occurrence.number = number;
  for (const StepSpec& spec : record.spec.steps) {
    Task task;
    if (IsGuest()) task.hosting = HostingState::kNotHosted;
    occurrence.steps.emplace_back().tasks.resize(spec.count, task);
  }
  return occurrence;
}

static bool IsUntouched(const Task& task) {
  return !task.done && task.last_run == 0 && task.failures == 0 &&
         task.host_cell < 0 && task.delegation == 0 && task.unsettled.empty() &&
         (task.hosting == HostingState::kOwnJob ||
          task.hosting == HostingState::kNotHosted);
}

static TaskRecord MakeTaskRecord(const TaskRef& ref, const Task& task) {
  TaskRecord record;
  record.occurrence = ref.occurrence;
  record.step = ref.step;
  record.index = ref.index;
  record.done = task.done;
  record.failures = task.failures;
  record.crashes = task.crashes;
  record.last_run = task.last_run;
  if (!task.done) record.checkpoint = task.checkpoint;
  record.run_base = task.run_base;
  record.host_cell = task.host_cell;
  record.hosting = task.hosting;
  record.delegation = task.delegation;
  record.unsettled = task.unsettled;
  for (const Run& run : task.runs) {
    record.vms.push_back(run.vm);
    record.run_numbers.push_back(run.number);
    if (run.may_have_crashed_vm) record.crashing_runs.push_back(run.number);
  }
  return record;
}

template <class Matches>
static bool HasTask(const std::deque<Occurrence>& occurrences,
                    Matches matches) {
  for (const Occurrence& occurrence : occurrences) {
    for (const Step& step : occurrence.steps) {
      if (std::any_of(step.tasks.begin(), step.tasks.end(), matches))
        return true;
    }
  }
  return false;
}

bool Job::HasTaskWithCrashes(int max_crashes) const {
  return HasTask(occurrences,
                 [&](const Task& task) { return task.crashes >= max_crashes; });
}

bool Job::HasRuns() const {
  return HasDelegatedTasks() || HasTask(occurrences, [](const Task& task) {
           return !task.runs.empty();
         });
}

bool Job::HasDelegatedTasks() const {
  return HasTask(occurrences, [](const Task& task) {
    return task.host_cell >= 0 || !task.unsettled.empty();
  });
}

static bool KeepsTask(const StepSpec& spec, const Task& task) {
  if (task.hosting == HostingState::kHosted) return true;
  return task.hosting == HostingState::kReturned && !spec.long_running;
}

bool Job::HostsTasks() const {
  for (const Occurrence& occurrence : occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const std::vector<Task>& tasks = occurrence.steps[step].tasks;
      const StepSpec& spec = record.spec.steps[step];
      if (std::any_of(tasks.begin(), tasks.end(),
                      [&](const Task& task) { return KeepsTask(spec, task); }))
        return true;
    }
  }
  return false;
}

bool Job::HasActiveRuns() const {
  const auto is_active = [](const Run& run) {
    return run.phase != RunPhase::kStopping;
  };
  return HasTask(occurrences, [&](const Task& task) {
    return std::any_of(task.runs.begin(), task.runs.end(), is_active);
  });
}

void Job::NoteChange(const TaskRef& task) {
  if (!all_parts_changed)
    changed_parts.insert(ProgressPartOf(record.spec, task));
}

ProgressRecord Job::MakeChangedProgress() const {
  ProgressRecord progress;
  progress.finished_occurrences = finished_occurrences;
  progress.retired = retired.Ranges();
  for (const Occurrence& occurrence : occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const std::vector<Task>& tasks = occurrence.steps[step].tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (IsUntouched(tasks[index])) continue;
        const TaskRef ref{id, occurrence.number, static_cast<int>(step),
                          static_cast<int>(index)};
        if (!all_parts_changed &&
            !changed_parts.contains(ProgressPartOf(record.spec, ref)))
          continue;
        progress.tasks.push_back(MakeTaskRecord(ref, tasks[index]));
      }
    }
  }
  return progress;
}

void Job::ApplyProgress(const ProgressRecord& progress) {
  retired = OccurrenceSet(progress.retired);
  durably_retired = retired.Count();
  progress_parts = {0};
  // An earlier version may have written all tasks to one part.
  all_parts_changed = true;
  for (const TaskRecord& saved : progress.tasks) {
    progress_parts.insert(ProgressPartOf(record.spec, saved));
    // An earlier version may have had more occurrences at a time.
    if (!IsGuest())
      AddOccurrencesBefore(std::max(saved.occurrence + 1, retired.End()));
    Task* task = FindOrAdd({id, saved.occurrence, saved.step, saved.index});
    if (!task) continue;
    task->done = saved.done;
    task->failures = saved.failures;
    task->crashes = saved.crashes;
    task->last_run = saved.last_run;
    task->journaled_run = saved.last_run;
    task->checkpoint = saved.checkpoint;
    task->run_base = saved.run_base;
    task->host_cell = saved.host_cell;
    task->hosting = saved.hosting;
    task->delegation = saved.delegation;
    task->unsettled = saved.unsettled;
    started = begun = true;
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
      run.may_have_crashed_vm =
          std::count(saved.crashing_runs.begin(), saved.crashing_runs.end(),
                     run.number) > 0;
      task->runs.push_back(run);
    }
  }
  if (IsGuest()) return;
  AddOccurrencesBefore(retired.End());
  finished_occurrences =
      retired.Count() +
      static_cast<int>(std::count_if(
          occurrences.begin(), occurrences.end(),
          [](const Occurrence& occurrence) { return occurrence.IsDone(); }));
}

}  // namespace basilspur::jobs
