#include "jobs/progress_parts.h"

#include <algorithm>
#include <utility>

#include "jobs/task_ref.h"

namespace basilspur::jobs {

/// Leaves each task 1 kB in a record of 256 kB; most take less than 100 bytes.
static constexpr std::int64_t kTasksPerPart = 256;
static constexpr char kPartSeparator = '.';

std::string ProgressKey(const std::string& job, int part) {
  const std::string key = "p" + job;
  return part == 0 ? key : key + kPartSeparator + std::to_string(part);
}

std::string JobOfProgressKey(std::string_view key) {
  return std::string(key.substr(1, key.find(kPartSeparator) - 1));
}

int ProgressPartOf(const JobSpec& spec, const TaskRecord& task) {
  return ProgressPartOf(spec,
                        TaskRef{"", task.occurrence, task.step, task.index});
}

int ProgressPartOf(const JobSpec& spec, const TaskRef& task) {
  std::int64_t number = task.index;
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    const std::int64_t count = spec.steps[step].count;
    number += task.occurrence * count;
    if (static_cast<int>(step) < task.step) number += count;
  }
  return static_cast<int>(number / kTasksPerPart);
}

std::map<int, ProgressRecord> SplitProgress(const JobSpec& spec,
                                            ProgressRecord progress) {
  std::map<int, ProgressRecord> parts;
  ProgressRecord& first = parts[0];
  first.finished_occurrences = progress.finished_occurrences;
  first.retired = std::move(progress.retired);
  for (TaskRecord& task : progress.tasks)
    parts[ProgressPartOf(spec, task)].tasks.push_back(std::move(task));
  return parts;
}

void MergeProgress(const ProgressRecord& part,
                   std::optional<ProgressRecord>& progress) {
  if (!progress) progress.emplace();
  progress->tasks.insert(progress->tasks.end(), part.tasks.begin(),
                         part.tasks.end());
  progress->retired.insert(progress->retired.end(), part.retired.begin(),
                           part.retired.end());
  progress->finished_occurrences =
      std::max(progress->finished_occurrences, part.finished_occurrences);
}

}  // namespace basilspur::jobs
