#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::AddDueOccurrences(Job& job, std::int64_t wall_ms) {
  if (job.IsGuest()) return;
  RetireOccurrences(job);
  const JobSpec& spec = job.record.spec;
  while (job.next_occurrence < job.OccurrenceLimit()) {
    const std::int64_t due =
        spec.first_start_ms + job.next_occurrence * spec.interval_ms;
    if (spec.repeats > 0 && wall_ms < due) return;
    job.AddOccurrence(job.next_occurrence++);
  }
}

void Scheduler::RetireOccurrences(Job& job) {
  if (job.record.spec.repeats <= 1) return;
  if (job.RetireDoneOccurrences()) MarkProgressDirty(job);
}

void Scheduler::RetireOccurrencesOfGuest(
    Job& job, const std::vector<OccurrenceRange>& retired) {
  const int before = job.retired.Count();
  for (const OccurrenceRange& range : retired) job.retired.Add(range);
  const auto removed =
      std::erase_if(job.occurrences, [&](const Occurrence& occurrence) {
        return job.retired.Contains(occurrence.number) && !occurrence.HasRuns();
      });
  if (removed > 0 || job.retired.Count() != before) MarkProgressDirty(job);
}

}  // namespace basilspur::jobs
