#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

namespace basilspur::jobs {

static RunKind KindOf(const Job& job, const TaskRef& ref) {
  return {job.record.queue, job.record.spec.steps[ref.step].image, ref.step};
}

static Millis StartOf(const Run& run) {
  return run.created_at > Millis(0) ? run.created_at : run.running_since;
}

/// The copy of a task of which several runs are known, but not its start.
static TaskCopy MakeKnownCopy(const Job& job, const TaskRef& ref,
                              const Task& task) {
  TaskCopy copy;
  copy.kind = KindOf(job, ref);
  for (const Run& run : task.runs) {
    if (run.number <= copy.run) continue;
    copy.first_run = std::exchange(copy.run, run.number);
    copy.first_vm = std::exchange(copy.vm, run.vm);
  }
  return copy;
}

void Scheduler::RestoreCopies(Job& job) {
  job.ForEachTask([&](const TaskRef& ref, const Task& task) {
    if (!CopyPolicy::IsEligible(job.record.spec.steps[ref.step])) return;
    const std::size_t regular_runs = task.done ? 0 : 1;
    if (task.runs.size() > regular_runs)
      copies_[ref] = MakeKnownCopy(job, ref, task);
  });
}

void Scheduler::UpdateCopies(Millis now, std::vector<RunCommand>& commands) {
  for (auto it = copies_.begin(); it != copies_.end();) {
    const bool keep = UpdateCopy(it->first, it->second, now, commands);
    it = keep ? std::next(it) : copies_.erase(it);
  }
}

bool Scheduler::UpdateCopy(const TaskRef& ref, TaskCopy& copy, Millis now,
                           std::vector<RunCommand>& commands) {
  Job* job = FindJob(ref.job);
  Task* task = job ? job->Find(ref) : nullptr;
  if (!task) return false;
  if (copy.withheld) SendCopy(*job, ref, copy, now, commands);
  if (!task->done) {
    if (task->FindRun(copy.run, copy.vm)) return true;
    ++copy_counts_.lost;
    return false;
  }
  bool all_stopped = true;
  for (Run& run : task->runs) {
    if (run.phase == RunPhase::kStopping) continue;
    all_stopped = IssueStop(ref, run, now, commands) && all_stopped;
  }
  return !all_stopped;
}

void Scheduler::SendCopy(Job& job, const TaskRef& ref, TaskCopy& copy,
                         Millis now, std::vector<RunCommand>& commands) {
  Task& task = job.At(ref);
  Run* run = task.FindRun(copy.run, copy.vm);
  if (!run) return;
  const Vm& vm = *FindVm(copy.vm);
  const bool may_start = !task.done && !IsFinal(job.record.status) &&
                         run->phase == RunPhase::kStarting && vm.reachable &&
                         MaySendStart(copy.vm);
  if (!may_start) {
    ReleaseRun(*FindVm(copy.vm), ref, copy.run);
    MarkProgressDirty(job);
    return;
  }
  if (run->journal_batch > durable_batches_) return;
  copy.withheld = false;
  run->starts_sent = 1;
  run->created_at = run->last_command_at = run->progressed_at = now;
  run->start_sent_at = now;
  commands.push_back(MakeStart(job, ref, *run));
  commands.back().checkpoint = task.checkpoint;
}

void Scheduler::PlanCopies(const std::vector<Vm*>& vms, Millis now) {
  const std::vector<SlowTask> slow_tasks = FindSlowTasks(now);
  if (slow_tasks.empty()) return;
  CopyLoad load;
  load.others_wait =
      std::any_of(active_jobs_.begin(), active_jobs_.end(), [&](auto& item) {
        return FirstWaitingTask(*item.second, /*best_effort=*/true, now) ||
               FirstWaitingTask(*item.second, /*best_effort=*/false, now);
      });
  if (load.others_wait) {
    ++copy_counts_.deferred;
    return;
  }
  for (const Vm* vm : vms)
    load.cell_runs += static_cast<int>(vm->Runs().size());
  for (const SlowTask& slow : slow_tasks) {
    const Job& job = *slow.job;
    load.cell_copies = static_cast<int>(copies_.size());
    load.job_copies = job.copies;
    load.job_tasks = 0;
    for (const StepSpec& step : job.record.spec.steps)
      load.job_tasks += step.count;
    load.attempts = job.record.attempts;
    const Task& task = slow.job->At(slow.ref);
    if (!copy_policy_.MayStart(KindOf(job, slow.ref), task, load)) continue;
    StartCopy(slow, vms, now);
  }
}

std::vector<SlowTask> Scheduler::FindSlowTasks(Millis now) const {
  std::vector<SlowTask> slow_tasks;
  for (const auto& [key, job] : active_jobs_) {
    if (job->IsGuest() || !CanStartRuns(*job)) continue;
    const std::vector<StepSpec>& specs = job->record.spec.steps;
    if (std::none_of(specs.begin(), specs.end(), [](const StepSpec& spec) {
          return CopyPolicy::IsEligible(spec);
        }))
      continue;
    for (const Occurrence& occurrence : job->occurrences) {
      for (std::size_t step = 0; step < specs.size(); ++step) {
        if (!CopyPolicy::IsEligible(specs[step])) continue;
        AddSlowTasks(*job, occurrence, static_cast<int>(step), now, slow_tasks);
      }
    }
  }
  // The longest first, as the number of copies is limited.
  std::stable_sort(slow_tasks.begin(), slow_tasks.end(),
                   [](const SlowTask& a, const SlowTask& b) {
                     return a.age.count * b.slow.threshold.count >
                            b.age.count * a.slow.threshold.count;
                   });
  return slow_tasks;
}

void Scheduler::AddSlowTasks(Job& job, const Occurrence& occurrence, int step,
                             Millis now,
                             std::vector<SlowTask>& slow_tasks) const {
  const std::vector<Task>& tasks = occurrence.steps[step].tasks;
  std::vector<Millis> done_times;
  for (const Task& task : tasks) {
    if (task.run_time > Millis(0)) done_times.push_back(task.run_time);
  }
  for (std::size_t index = 0; index < tasks.size(); ++index) {
    const Task& task = tasks[index];
    const TaskRef ref{job.id, occurrence.number, step, static_cast<int>(index)};
    if (!CopyPolicy::IsEligible(task) || copies_.contains(ref)) continue;
    const Run& run = task.runs.front();
    if (run.journal_batch > durable_batches_) continue;
    const RunProgress progress{now - StartOf(run), run.percent,
                               run.progressed_at - StartOf(run)};
    const auto slow = copy_policy_.Assess(
        KindOf(job, ref), done_times, static_cast<int>(tasks.size()), progress);
    if (slow) slow_tasks.push_back({&job, ref, *slow, progress.age});
  }
}

void Scheduler::StartCopy(const SlowTask& slow, const std::vector<Vm*>& vms,
                          Millis now) {
  Job& job = *slow.job;
  Task& task = job.At(slow.ref);
  const StepSpec& spec = job.record.spec.steps[slow.ref.step];
  TaskCopy copy;
  copy.first_run = task.runs.front().number;
  copy.first_vm = task.runs.front().vm;
  const Vm* first_vm = FindVm(copy.first_vm);
  if (!first_vm) return;
  Placement place;
  for (const bool any_rack : {false, true}) {
    if (place.vm) break;
    place = placer_.SelectPlacement(
        CopyPolicy::VmsForCopy(vms, *first_vm, any_rack), spec,
        job.record.service, slow.ref, task, now);
  }
  if (!place.vm) return;
  // A successor has to know of the copy by the journal, so SendCopy sends the
  // start once the run is durable.
  std::vector<RunCommand> withheld;
  StartTask(job, slow.ref, place, NextRunNumber(job, task), now, withheld);
  task.runs.back().starts_sent = 0;
  urgent_changes_ = true;
  ++task.copies;
  ++job.copies;
  copy.run = task.runs.back().number;
  copy.vm = task.runs.back().vm;
  copy.kind = KindOf(job, slow.ref);
  copy.started_at = now;
  copy.age = slow.age;
  copy.threshold = slow.slow.threshold;
  copy.withheld = true;
  copies_[slow.ref] = copy;
  copy_policy_.OnCopyStarted(copy.kind);
  ++copy_counts_.started;
  copy_events_.push_back({CopyEventKind::kStarted, slow.ref, copy, Millis(0)});
}

void Scheduler::ObserveEndForCopies(const Job& job, Task& task,
                                    const EndedRunReport& row,
                                    std::optional<Millis> run_time) {
  const bool eligible =
      CopyPolicy::IsEligible(job.record.spec.steps[row.task.step]);
  if (!eligible || !run_time || task.done) return;
  task.run_time = *run_time;
  copy_policy_.OnRunDone(KindOf(job, row.task), *run_time);
}

void Scheduler::OnTaskDone(const Job& job, const Task& task,
                           const EndedRunReport& row, Millis now) {
  const bool eligible =
      CopyPolicy::IsEligible(job.record.spec.steps[row.task.step]);
  if (!eligible) return;
  const auto found = copies_.find(row.task);
  if (found == copies_.end()) {
    // UpdateCopies stops the others.
    if (!task.runs.empty())
      copies_[row.task] = MakeKnownCopy(job, row.task, task);
    return;
  }
  const TaskCopy& copy = found->second;
  const bool won = row.run == copy.run;
  if (won) copy_policy_.OnCopyWon(copy.kind);
  ++(won ? copy_counts_.won : copy_counts_.lost);
  copy_events_.push_back({won ? CopyEventKind::kWon : CopyEventKind::kLost,
                          row.task, copy, now - copy.started_at});
}

std::vector<CopyEvent> Scheduler::TakeCopyEvents() {
  return std::exchange(copy_events_, {});
}

bool Scheduler::MayStartYet(const Run& run) const {
  if (run.running_since > Millis(0) || run.stop_confirmed) return false;
  if (run.starts_sent > 0) return true;
  // A start of an earlier owner is rejected once the VM has answered this one.
  const auto vm = vms_.find(run.vm);
  return vm != vms_.end() && !vm->second->reconciled;
}

const Run* Scheduler::RunThatMayStartAfter(const Task& task, int run) const {
  // Runs with lower numbers were executing when a later one was planned.
  for (const Run& other : task.runs) {
    if (other.number > run && MayStartYet(other)) return &other;
  }
  return nullptr;
}

}  // namespace basilspur::jobs
