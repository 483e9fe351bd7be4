#include "jobs/late_job_order.h"

#include <algorithm>
#include <utility>

namespace basilspur::jobs {

/// Number of steps in the longest chain of steps that are not done.
static int RemainingChain(const Job& job, const Occurrence& occurrence) {
  std::vector<int> chain;  // Steps are listed after their dependencies.
  int longest = 0;
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    int length = occurrence.steps[i].IsDone() ? 0 : 1;
    for (const int earlier : job.record.spec.steps[i].dependencies)
      length = std::max(length, chain[earlier] + !occurrence.steps[i].IsDone());
    chain.push_back(length);
    longest = std::max(longest, length);
  }
  return longest;
}

/// Processor time, in core milliseconds, of the tasks that are not done if each
/// takes `step_ms`.
static double RemainingWork(const Job& job, const Occurrence& occurrence,
                            double step_ms) {
  double work = 0;
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const Step& step = occurrence.steps[i];
    const int left = static_cast<int>(step.tasks.size()) - step.done;
    const StepSpec& spec = job.record.spec.steps[i];
    work += left * static_cast<double>(spec.need.cpu_millis) / 1'000 * step_ms;
  }
  return work;
}

Millis LateJobOrder::ObjectiveOf(const Job& job, const QueueConfig& queue,
                                 double step_ms) {
  const double chain_ms = step_ms * job.record.spec.LongestChain();
  return Millis(static_cast<std::int64_t>(queue.objective_factor * chain_ms) +
                queue.slack_ms);
}

void LateJobOrder::Add(Job& job, const QueueConfig& queue, double step_ms,
                       Millis now) {
  const Occurrence& occurrence = job.occurrences.front();
  const Millis objective = ObjectiveOf(job, queue, step_ms);
  const auto least_ms =
      static_cast<std::int64_t>(RemainingChain(job, occurrence) * step_ms);
  const Millis earliest_age = now + Millis(least_ms) - job.accepted_at;
  job.lateness = earliest_age <= objective ? Lateness::kMayBeInTime
                 : earliest_age <= objective * kUsefulObjectives
                     ? Lateness::kUseful
                     : Lateness::kPastUse;
  queues_[{{job.record.service, job.record.priority}, queue.name}].push_back(
      {&job, RemainingWork(job, occurrence, step_ms)});
}

bool LateJobOrder::ComesBefore(const LateJob& a, const LateJob& b) {
  if (a.job->lateness != b.job->lateness)
    return a.job->lateness < b.job->lateness;
  // The newest one is the most likely to be in time, as run times vary.
  if (a.job->lateness == Lateness::kMayBeInTime)
    return a.job->accepted_at > b.job->accepted_at;
  return a.work < b.work;
}

void LateJobOrder::AssignRanks() {
  // Each job with the work of its queue that comes before it.
  std::vector<std::pair<double, Job*>> order;
  for (auto& [key, jobs] : queues_) {
    std::stable_sort(jobs.begin(), jobs.end(), ComesBefore);
    double work_before = 0;
    for (const LateJob& late : jobs) {
      order.emplace_back(work_before, late.job);
      work_before += late.work;
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) {
                     return std::pair(a.second->lateness, a.first) <
                            std::pair(b.second->lateness, b.first);
                   });
  int rank = 0;
  for (const auto& [work_before, job] : order) job->late_rank = ++rank;
}

}  // namespace basilspur::jobs
