#include <tuple>
#include <utility>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

/// Returns references to what the configuration of a job's queue decides; `T`
/// is QueueConfig or JobRecord.
template <class T>
static auto ConfiguredPartOf(T& holder) {
  return std::tie(holder.service, holder.attempts, holder.priority);
}

void Scheduler::ApplyCatalog(const Catalog& catalog) {
  catalog_ = catalog;
  for (auto& [id, job] : jobs_) ApplyQueue(*job);
}

void Scheduler::ApplyQueue(Job& job) {
  JobRecord& record = job.record;
  const QueueConfig* queue = catalog_.FindQueue(record.queue);
  // An owner or a home cell that read a newer configuration may have written
  // the record.
  const bool applies = queue && !IsFinal(record.status) &&
                       catalog_.version >= record.catalog_version;
  if (!applies || ConfiguredPartOf(*queue) == ConfiguredPartOf(record)) return;
  const bool active = active_jobs_.erase(KeyOf(job)) > 0;
  ConfiguredPartOf(record) = ConfiguredPartOf(*queue);
  record.catalog_version = catalog_.version;
  if (active) Activate(job);
  job.record_dirty = true;
  dirty_jobs_.insert(job.id);
}

Job& Scheduler::AddJob(std::unique_ptr<Job> job) {
  Job& added = *(jobs_[job->id] = std::move(job));
  ApplyQueue(added);
  return added;
}

}  // namespace basilspur::jobs
