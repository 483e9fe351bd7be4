#include "jobs/scheduler.h"

namespace basilspur::jobs {

bool Scheduler::IssueStop(const TaskRef& ref, Run& run, Millis now,
                          std::vector<RunCommand>& commands) {
  if (run.journal_batch > durable_batches_) return false;
  RunCommand command;
  command.kind = RunCommandKind::kStop;
  command.vm = run.vm;
  command.task = ref;
  command.run = run.number;
  commands.push_back(command);
  run.phase = RunPhase::kStopping;
  run.last_command_at = now;
  return true;
}

void Scheduler::PlanRetries(Job& job, Millis now,
                            std::vector<RunCommand>& commands) {
  job.ForEachRun([&](const TaskRef& ref, Task& task, Run& run) {
    if (task.IsElsewhere() && run.phase != RunPhase::kStopping) {
      IssueStop(ref, run, now, commands);
      return;
    }
    if (run.phase == RunPhase::kStopping && !run.stop_confirmed &&
        now - run.last_command_at >= settings_.stop_retry_interval) {
      IssueStop(ref, run, now, commands);
      return;
    }
    const bool inherited = run.last_command_at == Millis(0);
    if (run.phase != RunPhase::kInDoubt || inherited) return;
    if (now - run.last_command_at < settings_.start_retry_interval) return;
    // The run may not execute yet, and the VM may have shrunk since.
    const Vm* vm = FindVm(run.vm);
    const bool has_room = !vm || !vm->IsOverCommitted();
    if (!has_room || !MaySendStart(run.vm) ||
        run.starts_sent >= settings_.max_start_attempts) {
      IssueStop(ref, run, now, commands);
      return;
    }
    if (starts_held_ || run.late_start_batch > durable_batches_) return;
    ++run.starts_sent;
    run.last_command_at = run.start_sent_at = now;
    commands.push_back(MakeStart(job, ref, run));
    commands.back().checkpoint = task.checkpoint;
  });
}

void Scheduler::StopStalledRuns(Job& job, Millis now) {
  job.ForEachRun([&](const TaskRef& ref, Task& task, Run& run) {
    const StepSpec& spec = job.record.spec.steps[ref.step];
    if (run.phase != RunPhase::kRunning || spec.gang) return;
    if (spec.long_running && run.percent >= 100) return;
    const Vm* vm = FindVm(run.vm);
    if (!vm || !vm->reachable) return;
    const auto charged_run = vm->Runs().find({ref, run.number});
    const bool paused = charged_run != vm->Runs().end() &&
                        charged_run->second.pace_percent == 0 &&
                        now - charged_run->second.pace_changed_at >=
                            settings_.zero_pace_timeout;
    if (!paused && now - run.progressed_at < settings_.stall_timeout) return;
    // PlanRetries sends the stop command.
    run.phase = RunPhase::kStopping;
    run.last_command_at = now - settings_.stop_retry_interval;
    task.failed_on.push_back(run.vm);
  });
}

void Scheduler::PlanStopsOfEndedJobs(Millis now,
                                     std::vector<RunCommand>& commands) {
  for (auto it = stopping_jobs_.begin(); it != stopping_jobs_.end();) {
    Job* job = FindJob(*it);
    bool has_runs = job && job->HasDelegatedTasks();
    if (job) {
      job->ForEachRun([&](const TaskRef& ref, Task&, Run& run) {
        has_runs = true;
        const bool first = run.phase != RunPhase::kStopping;
        const bool again =
            !run.stop_confirmed &&
            now - run.last_command_at >= settings_.stop_retry_interval;
        if (first || again) IssueStop(ref, run, now, commands);
      });
    }
    if (has_runs) {
      ++it;
      continue;
    }
    if (job) {
      job->record_dirty = true;
      dirty_jobs_.insert(job->id);
    }
    it = stopping_jobs_.erase(it);
  }
}

void Scheduler::PlanStopsOfOrphanedRuns(Millis now,
                                        std::vector<RunCommand>& commands) {
  for (auto& [key, last_command_at] : orphaned_runs_) {
    if (now - last_command_at < settings_.stop_retry_interval) continue;
    last_command_at = now;
    RunCommand command;
    command.kind = RunCommandKind::kStop;
    command.vm = key.first;
    command.task = key.second.first;
    command.run = key.second.second;
    commands.push_back(command);
  }
}

}  // namespace basilspur::jobs
