#include "jobs/scheduler.h"

namespace basilspur::jobs {

void Scheduler::RankLateJobs(Millis now) {
  const bool busy = &CurrentReliefLimits() == &settings_.busy_relief;
  late_jobs_.Clear();
  for (auto& [key, job] : active_jobs_) {
    job->late_rank = 0;
    if (job->occurrences.empty()) continue;
    const QueueConfig* queue = catalog_.FindQueue(job->record.queue);
    if (!queue || !tier_policy_.IsLate(*job, *queue, now)) continue;
    job->late_and_idle = !busy && job->idle_since > Millis(0) &&
                         now - job->idle_since >= settings_.relief.delay;
    late_jobs_.Add(*job, *queue, tier_policy_.StepMsOf(*queue), now);
  }
  late_jobs_.AssignRanks();
}

void Scheduler::AddLateTurns(Job& job, std::vector<JobTurn>& turns) {
  const bool past_use = job.lateness == Lateness::kPastUse;
  const JobTier tier =
      past_use ? JobTier::kDeferred : JobTier::kDeferredStarted;
  turns.push_back({&job, tier, /*first_task_only=*/false, job.late_rank});
  // No job may be left without a run while processors are free.
  if (!job.late_and_idle) return;
  turns.push_back(
      {&job, JobTier::kDeferredStarted, /*first_task_only=*/true, 0});
}

}  // namespace basilspur::jobs
