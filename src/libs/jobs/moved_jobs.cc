#include "jobs/moved_jobs.h"

namespace basilspur::jobs {

void MovedJobs::Add(const std::string& job, int cell, Millis now) {
  jobs_[job] = {cell, /*durable=*/false, now};
  changed_.insert(job);
}

void MovedJobs::Restore(const std::string& job, int cell, Millis now) {
  jobs_[job] = {cell, /*durable=*/true, now};
}

void MovedJobs::OnSubmissionRedirected(const std::string& job, Millis now) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  found->second.checked_at = now;
  found->second.redirected = true;
}

bool MovedJobs::RemoveUnlessRedirected(const std::string& job) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || found->second.redirected) return false;
  jobs_.erase(found);
  changed_.insert(job);
  return true;
}

std::optional<int> MovedJobs::CellOf(const std::string& job) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || !found->second.durable) return std::nullopt;
  return found->second.cell;
}

void MovedJobs::TakeChanges(JournalBatch& batch) {
  for (const std::string& job : changed_) {
    const auto found = jobs_.find(job);
    records::Bytes value;
    if (found != jobs_.end()) {
      value = records::Encode(MoveRecord{found->second.cell});
      batch.moved.push_back(job);
    }
    batch.entries.push_back({"m" + job, std::move(value)});
  }
  changed_.clear();
}

void MovedJobs::OnDurable(const JournalBatch& batch) {
  for (const std::string& job : batch.moved) {
    const auto found = jobs_.find(job);
    if (found != jobs_.end()) found->second.durable = true;
  }
}

std::optional<std::string> MovedJobs::NextToCheck(Millis interval, Millis now) {
  for (auto& [job, move] : jobs_) {
    if (!move.durable || now - move.checked_at < interval) continue;
    move.checked_at = now;
    move.redirected = false;
    return job;
  }
  return std::nullopt;
}

}  // namespace basilspur::jobs
