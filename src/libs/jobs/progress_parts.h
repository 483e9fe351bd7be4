#ifndef BASILSPUR_JOBS_PROGRESS_PARTS_H_
#define BASILSPUR_JOBS_PROGRESS_PARTS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/job_progress.h"

namespace basilspur::jobs {

struct TaskRef;

// The progress of a job is stored in several records, since one that lists all
// of its tasks may be longer than the store takes. Each task belongs to one
// part for good; part 0 also holds what concerns the whole job, and is the only
// part of a job with few tasks.

/// Key of a part of the job's progress in the journal.
std::string ProgressKey(const std::string& job, int part);

/// Returns the job of a key that ProgressKey has made.
std::string JobOfProgressKey(std::string_view key);

/// Returns the part that holds the task's record.
int ProgressPartOf(const JobSpec& spec, const TaskRecord& task);
int ProgressPartOf(const JobSpec& spec, const TaskRef& task);

/// Returns part 0, and the others that have tasks.
std::map<int, ProgressRecord> SplitProgress(const JobSpec& spec,
                                            ProgressRecord progress);

/// Adds a part to the parts of the same job in `progress`.
void MergeProgress(const ProgressRecord& part,
                   std::optional<ProgressRecord>& progress);

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_PROGRESS_PARTS_H_
