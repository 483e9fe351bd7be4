#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::vector<std::string> Scheduler::EndedJobsAt(const std::set<int>& hosts,
                                                const std::string& after,
                                                std::size_t max_count) {
  std::vector<std::string> found;
  const auto add = [&](const std::string& id) {
    Job* job = FindJob(id);
    if (!job || !IsFinal(job->record.status)) return;
    bool is_there = false;
    job->ForEachTask([&](const TaskRef&, Task& task) {
      is_there = is_there || hosts.contains(task.host_cell);
    });
    if (is_there) found.push_back(id);
  };
  const auto first = delegating_jobs_.upper_bound(after);
  for (auto it = first; it != delegating_jobs_.end(); ++it) {
    if (found.size() < max_count) add(*it);
  }
  for (auto it = delegating_jobs_.begin(); it != first; ++it) {
    if (found.size() < max_count) add(*it);
  }
  return found;
}

std::set<int> Scheduler::HomesOfHostedTasks() const {
  std::set<int> homes;
  for (const auto& [key, job] : active_jobs_) {
    if (!job->IsGuest() || homes.contains(job->record.home_cell)) continue;
    job->ForEachTask([&, job = job](const TaskRef&, const Task& task) {
      if (task.hosting == HostingState::kHosted)
        homes.insert(job->record.home_cell);
    });
  }
  return homes;
}

int Scheduler::RecallHosted(int home_cell,
                            const std::vector<std::string>& ended_jobs) {
  int recalled = 0;
  for (const std::string& id : ended_jobs) {
    Job* job = FindJob(id);
    if (!job || job->record.home_cell != home_cell) continue;
    job->ForEachTask([&](const TaskRef&, Task& task) {
      if (task.hosting != HostingState::kHosted) return;
      ReturnTask(*job, task);
      ++recalled;
    });
  }
  return recalled;
}

}  // namespace basilspur::jobs
