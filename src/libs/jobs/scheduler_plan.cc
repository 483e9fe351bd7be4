#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "jobs/placement_queue.h"
#include "jobs/scheduler.h"

namespace basilspur::jobs {

std::vector<RunCommand> Scheduler::Plan(std::int64_t wall_ms, Millis now) {
  wall_ms_ = wall_ms;
  ProcessExpiredLeases(now);
  std::vector<RunCommand> commands;
  plan_starts_ = 0;
  has_more_to_plan_ = false;
  const bool check = now - last_check_at_ >= settings_.check_interval;
  if (check) {
    last_check_at_ = now;
    for (auto& [id, vm] : vms_) tails_.AdjustPaces(*vm, now);
    PlanStopsOfOrphanedRuns(now, commands);
  }
  PlanPaces(commands);
  ReleaseHeldEnds(now);
  UpdateCopies(now, commands);
  PlanStopsOfEndedJobs(now, commands);
  const std::vector<Vm*> vms = AllVms();
  unplaceable_ = {};
  backfill_.BeginPlan(vms);
  if (check) {
    for (auto& [key, job] : active_jobs_) {
      StopStalledRuns(*job, now);
      PlanRetries(*job, now, commands);
      UpdateTier(*job, now);
      UpdateIdleTime(*job, now);
      UpdateLongRunningWaits(*job, now);
    }
  }
  if (check) UpdatePreemptions(now);
  if (check && settings_.complete_late_jobs) RankLateJobs(now);
  if (check) ReturnWaitingGuests(now);
  if (check) PlanReliefRuns(vms, now, commands);
  PlanLongRunningTasks(vms, now, commands);
  for (const JobTurn& turn : TurnsInSchedulingOrder()) {
    if (!CanStartRuns(*turn.job)) continue;
    if (IsPlanFull()) break;
    backfill_.BeginPriority(turn.job->record.priority, vms, now);
    if (turn.first_task_only) {
      PlanFirstTask(*turn.job, vms, now, commands);
    } else {
      PlanJob(*turn.job, vms, now, commands);
    }
  }
  if (!check) return commands;
  for (auto& [key, job] : active_jobs_) UpdateIdleTime(*job, now);
  PlanEvacuations(vms, now, commands);
  PlanCopies(vms, now);
  return commands;
}

void Scheduler::UpdateTier(Job& job, Millis now) {
  const QueueConfig* queue = catalog_.FindQueue(job.record.queue);
  if (queue) job.tier = tier_policy_.TierOf(job, *queue, now);
}

std::vector<JobTurn> Scheduler::TurnsInSchedulingOrder() const {
  std::vector<JobTurn> turns;
  turns.reserve(active_jobs_.size());
  for (const auto& [key, job] : active_jobs_) {
    if (job->late_rank > 0) {
      AddLateTurns(*job, turns);
      continue;
    }
    turns.push_back({job, job->tier, /*first_task_only=*/false});
    // While processors do not suffice for all tasks, the tasks of older jobs
    // would take each processor that becomes free. So of the jobs that have
    // begun, and of those that are late already, each gets one run before
    // another one gets more.
    if (job->idle_since == Millis(0)) continue;
    if (job->IsDeferred()) {
      turns.push_back(
          {job, JobTier::kDeferredStarted, /*first_task_only=*/true});
    } else if (job->tier == JobTier::kStarted) {
      turns.push_back({job, JobTier::kStarted, /*first_task_only=*/true});
    }
  }
  const auto rank = [](const JobTurn& turn) {
    return std::tuple(turn.job->record.priority, turn.tier, turn.late_rank,
                      !turn.first_task_only);
  };
  std::stable_sort(
      turns.begin(), turns.end(),
      [&](const JobTurn& a, const JobTurn& b) { return rank(a) < rank(b); });
  return turns;
}

bool Scheduler::CanStartRuns(const Job& job) const {
  if (starts_held_) return false;
  // Runs that earlier owners started but could not record appear only in the
  // VMs' reports. So a job of an earlier owner starts no run until each VM that
  // the journal listed has answered or its lease has expired.
  return job.accepted && (!job.inherited || HasCompleteRunState());
}

std::vector<Vm*> Scheduler::AllVms() {
  std::vector<Vm*> all;
  all.reserve(vms_.size());
  for (auto& [id, vm] : vms_) all.push_back(vm.get());
  return all;
}

void Scheduler::PlanJob(Job& job, const std::vector<Vm*>& vms, Millis now,
                        std::vector<RunCommand>& commands) {
  AddDueOccurrences(job, wall_ms_);
  for (Occurrence& occurrence : job.occurrences) {
    for (int step = 0; step < static_cast<int>(occurrence.steps.size());
         ++step) {
      if (occurrence.steps[step].IsDone()) continue;
      if (!job.DependenciesDone(occurrence, step)) continue;
      if (job.record.spec.steps[step].gang) {
        PlanGang(job, occurrence, step, now, commands);
      } else {
        PlanStep(job, occurrence, step, /*urgent=*/false, vms, now, commands);
      }
    }
  }
}

bool Scheduler::IsPlanFull() {
  const bool full = plan_starts_ >= settings_.max_starts_per_plan;
  has_more_to_plan_ = has_more_to_plan_ || full;
  return full;
}

bool Scheduler::NeedsRun(const Task& task, Millis now) const {
  return !task.done && task.runs.empty() && now >= task.not_before &&
         !task.IsElsewhere() && task.placement_batch <= durable_batches_ &&
         task.crashes < settings_.max_crashes;
}

int Scheduler::NextRunNumber(const Job& job, const Task& task) const {
  const int first = job.inherited ? first_run_number_ : 1;
  return std::max(task.last_run + 1, task.run_base + first);
}

void Scheduler::PlanFirstTask(Job& job, const std::vector<Vm*>& vms, Millis now,
                              std::vector<RunCommand>& commands) {
  auto ref = FirstWaitingTask(job, /*best_effort=*/true, now);
  if (!ref) ref = FirstWaitingTask(job, /*best_effort=*/false, now);
  if (!ref || job.record.spec.steps[ref->step].gang) return;
  PlanTask(job, *ref, vms, /*queue=*/nullptr, now, commands);
}

/// Returns the indexes of the step's tasks for which VMs are reserved.
static std::set<int> ReservedTasksOf(const TaskRef& step,
                                     const std::vector<Vm*>& vms, Millis now) {
  std::set<int> indexes;
  for (const Vm* vm : vms) {
    const auto& reservation = vm->reservation;
    if (reservation && now < reservation->until &&
        reservation->task.IsOfStep(step))
      indexes.insert(reservation->task.index);
  }
  return indexes;
}

void Scheduler::PlanStep(Job& job, Occurrence& occurrence, int step,
                         bool urgent, const std::vector<Vm*>& vms, Millis now,
                         std::vector<RunCommand>& commands) {
  const std::vector<Task>& tasks = occurrence.steps[step].tasks;
  const StepSpec& spec = job.record.spec.steps[step];
  TaskRef ref{job.id, occurrence.number, step, 0};
  std::optional<PlacementQueue> queue;
  int tried = 0;
  // Of the tasks after one that got neither a place nor a reservation, only
  // these may have a place.
  std::optional<std::set<int>> with_reservation;
  for (; ref.index < static_cast<int>(tasks.size()); ++ref.index) {
    const Task& task = tasks[ref.index];
    if (!NeedsRun(task, now)) continue;
    if (spec.long_running && IsUrgent(task, now) != urgent) continue;
    if (with_reservation && !with_reservation->contains(ref.index) &&
        !preemptions_.contains(ref))
      continue;
    if (IsPlanFull()) return;
    // Comparing all VMs once is cheaper for a single task.
    if (++tried == 2)
      queue.emplace(placer_, vms, spec, job.record.service, ref, now);
    if (PlanTask(job, ref, vms, queue ? &*queue : nullptr, now, commands))
      continue;
    // Each long-running task gets a VM of its own reserved.
    if (!spec.long_running) return;
    if (with_reservation) continue;
    std::set<int> reserved = ReservedTasksOf(ref, vms, now);
    if (!reserved.contains(ref.index)) with_reservation = std::move(reserved);
  }
}

bool Scheduler::PlanTask(Job& job, const TaskRef& ref,
                         const std::vector<Vm*>& vms, PlacementQueue* queue,
                         Millis now, std::vector<RunCommand>& commands) {
  const StepSpec& spec = job.record.spec.steps[ref.step];
  const std::string& service = job.record.service;
  if (!backfill_.HasPlannedStart(ref) && unplaceable_.Covers(spec, service) &&
      !HasReservedVm(ref, spec, now)) {
    if (spec.long_running) ReserveCapacityFor(job, ref, vms, now);
    PlanLaterStart(job, ref, vms, now);
    return false;
  }
  const Task& task = job.At(ref);
  if (task.IsSuspect() && !MayIsolateVm(now)) return true;
  if (late_starts_.MayStart(ref)) {
    PlanBesideLateStart(job, ref, queue, now, commands);
    return true;  // Other tasks of the step may have places.
  }
  const Placement place =
      queue ? queue->Select(ref, task)
            : placer_.SelectPlacement(vms, spec, service, ref, task, now);
  if (!place.vm) {
    const bool reserved = Preempt(job, ref, vms, now, commands);
    if (reserved) return true;
    if (spec.long_running) ReserveCapacityFor(job, ref, vms, now);
    PlanLaterStart(job, ref, vms, now);
    unplaceable_.Add(spec, service);
    return false;
  }
  StartTask(job, ref, place, NextRunNumber(job, task), now, commands);
  if (queue) queue->Update(*place.vm);
  return true;
}

void Scheduler::PlanBesideLateStart(Job& job, const TaskRef& ref,
                                    PlacementQueue* queue, Millis now,
                                    std::vector<RunCommand>& commands) {
  const std::string* only = late_starts_.OnlyVmOf(ref);
  Vm* vm = only ? FindVm(*only) : nullptr;
  const Task& task = job.At(ref);
  const auto has_failed_there = [&] {
    return std::find(task.failed_on.begin(), task.failed_on.end(), *only) !=
           task.failed_on.end();
  };
  // A VM that goes down and up again would seem to be crashed by the task.
  if (!vm || task.IsSuspect() || has_failed_there()) return;
  const Placement place =
      placer_.SelectPlacement({vm}, job.record.spec.steps[ref.step],
                              job.record.service, ref, task, now);
  if (!place.vm) return;
  StartTask(job, ref, place, NextRunNumber(job, task), now, commands);
  if (queue) queue->Update(*place.vm);
}

RunCommand Scheduler::MakeStart(const Job& job, const TaskRef& ref,
                                const Run& run) {
  RunCommand command;
  command.kind = RunCommandKind::kStart;
  command.vm = run.vm;
  command.task = ref;
  command.run = run.number;
  command.payload = job.record.spec.payload;
  return command;
}

void Scheduler::StartTask(Job& job, const TaskRef& ref, const Placement& place,
                          int number, Millis now,
                          std::vector<RunCommand>& commands) {
  Vm& vm = *place.vm;
  if (vm.reservation && vm.reservation->task == ref) vm.reservation.reset();
  Task& task = job.At(ref);
  const StepSpec& spec = job.record.spec.steps[ref.step];
  Run& run = task.runs.emplace_back();
  run.number = number;
  run.vm = vm.listing.id;
  run.created_at = run.last_command_at = run.progressed_at = now;
  run.start_sent_at = now;
  run.starts_sent = 1;
  run.journal_batch = taken_batches_ + 1;
  task.last_run = number;
  task.waiting_since = Millis(0);
  RunOnVm run_on_vm = MakeRunOnVm(spec);
  run_on_vm.pace_percent = place.pace_percent;
  run_on_vm.relief = place.relief;
  // Keeps the time that the run takes out of the mean by which jobs are
  // deferred.
  if (place.relief) run_on_vm.pace_changed_at = now;
  run_on_vm.started_at = now;
  vm.Add({ref, number}, run_on_vm);
  backfill_.OnStarted(vm, run_on_vm, now);
  vm.last_start_at = now;
  // The members of a gang may have no place but beside each other.
  if (task.IsSuspect() && !spec.gang)
    vm.isolation = {{ref, number}, now + settings_.max_time_to_crash};
  commands.push_back(MakeStart(job, ref, run));
  commands.back().checkpoint = task.checkpoint;
  if (!place.relief) job.started_by_relief_only = false;
  if (place.relief && !job.started) job.started_by_relief_only = true;
  job.started = true;
  job.idle_since = Millis(0);
  ++plan_starts_;
  MarkTaskDirty(job, ref);
}

void Scheduler::PlanPaces(std::vector<RunCommand>& commands) {
  for (auto& [id, vm] : vms_) {
    if (!vm->reachable || vm->BestEffortCpuMillis() == 0) continue;
    for (const auto& [key, entry] : vm->Runs()) {
      if (!entry.confirmed ||
          entry.pace_percent == entry.commanded_pace_percent)
        continue;
      vm->FindRun(key)->commanded_pace_percent = entry.pace_percent;
      RunCommand command;
      command.kind = RunCommandKind::kPace;
      command.vm = id;
      command.task = key.first;
      command.run = key.second;
      command.percent = entry.pace_percent;
      commands.push_back(command);
    }
  }
}

}  // namespace basilspur::jobs
