#include <algorithm>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

bool Scheduler::HasJob(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && !found->second->IsGuest();
}

bool Scheduler::IsAccepted(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && found->second->accepted;
}

bool Scheduler::IsEnded(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() || IsFinal(found->second->durable_status);
}

std::optional<VisibleJobState> Scheduler::VisibleStateOf(
    const std::string& id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  const Job& job = *found->second;
  switch (job.durable_status) {
    case JobStatus::kDone:
      return VisibleJobState::kDone;
    case JobStatus::kFailed:
      return VisibleJobState::kFailed;
    case JobStatus::kCancelled:
      return VisibleJobState::kCancelled;
    case JobStatus::kActive:
      break;
  }
  return job.begun ? VisibleJobState::kRunning : VisibleJobState::kQueued;
}

Millis Scheduler::AgeOf(const std::string& id, Millis now) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? Millis(0) : now - found->second->accepted_at;
}

std::vector<KnownRun> Scheduler::RunsOf(const std::string& id) const {
  std::vector<KnownRun> runs;
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return runs;
  found->second->ForEachTask([&](const TaskRef& ref, const Task& task) {
    if (task.host_cell >= 0) runs.push_back({ref, 0, "", task.host_cell});
    for (const Run& run : task.runs)
      runs.push_back({ref, run.number, run.vm, -1});
  });
  return runs;
}

std::vector<RestoredJob> Scheduler::RestoredJobs(Millis now) const {
  std::vector<RestoredJob> restored;
  for (const auto& [key, job] : active_jobs_) {
    if (!job->inherited) continue;
    RestoredJob& row = restored.emplace_back();
    row.id = job->id;
    row.home_cell = job->record.home_cell;
    row.age = now - job->accepted_at;
    job->ForEachTask([&](const TaskRef&, const Task& task) {
      row.done_tasks += task.done ? 1 : 0;
      row.runs += static_cast<int>(task.runs.size());
      row.delegated_tasks += task.host_cell >= 0 ? 1 : 0;
    });
  }
  return restored;
}

void Scheduler::NoteRun(RunEventKind kind, const Vm& vm, const RunKey& key,
                        Millis now, std::int64_t end) {
  run_events_.Add({kind, key.first, key.second, vm.listing.id, end,
                   vm.LatestLeaseExpiry() - now});
}

int Scheduler::PendingJobs(std::string_view queue) const {
  int pending = 0;
  for (const auto& [key, job] : active_jobs_) {
    if (!job->begun && job->accepted && job->record.queue == queue) ++pending;
  }
  return pending;
}

static void CountStep(const StepSpec& spec, const Step& step,
                      CellSummary& summary) {
  for (const Task& task : step.tasks) {
    summary.runs += static_cast<int>(task.runs.size());
    if (task.done || task.IsElsewhere()) continue;
    if (spec.best_effort) {
      summary.best_effort_cpu_millis += spec.need.cpu_millis;
    }
    if (!task.runs.empty()) continue;
    if (!spec.best_effort) summary.waiting_cpu_millis += spec.need.cpu_millis;
    ++summary.waiting_tasks;
    if (spec.long_running) ++summary.waiting_long_running;
    if (spec.best_effort) ++summary.waiting_best_effort;
  }
}

/// Keeps the rooms with the most processors that are to be published.
static void KeepLargest(std::vector<records::Resources>& rooms) {
  const std::size_t kept = std::min(rooms.size(), kMaxPublishedRooms);
  std::partial_sort(
      rooms.begin(), rooms.begin() + static_cast<std::ptrdiff_t>(kept),
      rooms.end(),
      [](const records::Resources& a, const records::Resources& b) {
        return a.cpu_millis > b.cpu_millis;
      });
  rooms.resize(kept);
}

static void AddLabelRooms(const VmListing& listing,
                          const records::Resources& free,
                          std::map<std::string, records::Resources>& rooms) {
  for (const std::string& label : {listing.kind, listing.rack}) {
    if (label.empty()) continue;
    records::Resources& room = rooms[label];
    if (free.cpu_millis > room.cpu_millis) room = free;
  }
}

CellSummary Scheduler::Summary(Millis now) const {
  CellSummary summary;
  summary.preempted_runs = preemption_policy_.StopCount();
  summary.active_jobs = static_cast<int>(active_jobs_.size());
  summary.copies = copy_counts_;
  for (const auto& [key, job] : active_jobs_) {
    if (job->late_rank > 0) {
      const bool past_use = job->lateness == Lateness::kPastUse;
      ++(past_use ? summary.late_past_use_jobs : summary.late_useful_jobs);
    }
    const int before = summary.waiting_tasks;
    for (const Occurrence& occurrence : job->occurrences) {
      for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        if (!job->DependenciesDone(occurrence, static_cast<int>(step))) {
          continue;
        }
        CountStep(job->record.spec.steps[step], occurrence.steps[step],
                  summary);
      }
    }
    if (summary.waiting_tasks == before) continue;
    summary.oldest_wait = std::max(summary.oldest_wait, now - job->accepted_at);
  }
  std::map<std::string, records::Resources> label_rooms;
  for (const auto& [id, vm] : vms_) {
    if (!vm->listed) continue;
    if (!vm->reachable) ++summary.unreachable_vms;
    if (!MaySendStart(id)) {
      ++summary.closed_vms;
      continue;
    }
    const records::Resources free = vm->Free();
    if (vm->reachable && free.cpu_millis > summary.largest_room.cpu_millis)
      summary.largest_room = free;
    const bool is_open = vm->reachable && vm->in_journal &&
                         !vm->lease_bound_recorded && !vm->lease_expired &&
                         now >= vm->quarantined_until &&
                         !vm->ReservationOfOther({}, now);
    if (is_open && free.cpu_millis > 0 && free.memory_mib > 0) {
      summary.rooms.push_back(free);
      AddLabelRooms(vm->listing, free, label_rooms);
    }
    if (is_open)
      summary.long_running_rooms.push_back(vm->CapacityBesideLongRunning());
    summary.free_cpu_millis += free.cpu_millis;
    summary.capacity_cpu_millis += vm->listing.capacity.cpu_millis;
  }
  KeepLargest(summary.rooms);
  KeepLargest(summary.long_running_rooms);
  for (const auto& [label, room] : label_rooms) {
    if (summary.label_rooms.size() == kMaxPublishedLabels) break;
    summary.label_rooms.push_back({label, room});
  }
  return summary;
}

bool Scheduler::MaySendStart(const std::string& vm) const {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || !found->second->listed) return false;
  // A worker that has started again since the start was planned.
  const Vm& known = *found->second;
  if (!known.is_fenced || known.long_lease_batch > 0) return false;
  const VmListing& listing = found->second->listing;
  return !listing.draining && !closures_.IsClosed(listing.data_center);
}

std::optional<VmListing> Scheduler::Listing(const std::string& vm) const {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || found->second->listing.address.empty()) {
    return std::nullopt;
  }
  return found->second->listing;
}

VmLoad Scheduler::LoadOf(const std::string& vm) const {
  const auto found = vms_.find(vm);
  if (found == vms_.end() || found->second->Runs().empty()) {
    return VmLoad::kIdle;
  }
  const Vm& known = *found->second;
  const bool mixed =
      known.ServingRunCount() > 0 && known.BestEffortCpuMillis() > 0;
  return mixed ? VmLoad::kMixed : VmLoad::kBusy;
}

std::vector<VmListing> Scheduler::VmsToRenew() const {
  std::vector<VmListing> renewed;
  for (const auto& [id, vm] : vms_) {
    if (!vm->listing.address.empty()) renewed.push_back(vm->listing);
  }
  return renewed;
}

}  // namespace basilspur::jobs
