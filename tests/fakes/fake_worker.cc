#include "fakes/fake_worker.h"

#include <algorithm>
#include <sstream>

namespace basilspur::fakes {

using infra::RunDirective;
using infra::RunStatus;

/// The behaviour of a task that its command selects.
struct SimulatedTask {
  std::string kind;
  std::int64_t duration_ms = 0;
  /// The reported usage. 0 reports the declared resources.
  std::int64_t actual_cpu_millis = 0;
  std::int64_t actual_memory_mib = 0;
  double added_slowdown = 0;
};

static SimulatedTask ParseCommand(const std::string& text) {
  std::istringstream stream(text);
  SimulatedTask task;
  stream >> task.kind >> task.duration_ms;
  std::string option;
  while (stream >> option) {
    if (option == "uses") {
      stream >> task.actual_cpu_millis >> task.actual_memory_mib;
    }
    if (option == "slows") stream >> task.added_slowdown;
  }
  return task;
}

static records::Resources UsageOf(const records::JobSpec& job) {
  const SimulatedTask task = ParseCommand(job.command);
  records::Resources usage = job.resources;
  if (task.actual_cpu_millis > 0) usage.cpu_millis = task.actual_cpu_millis;
  if (task.actual_memory_mib > 0) usage.memory_mib = task.actual_memory_mib;
  return usage;
}

void FakeWorker::Start(const infra::RunCommand& command, Millis now,
                       Millis lease) {
  Run& run = runs_[command.run];
  run.job = command.job;
  run.last_step_at = now;
  run.lease_expires_at = now + lease;
  // The name of a checkpoint is the progress in ms that it holds.
  if (!command.checkpoint.empty())
    run.progress_ms = std::stoll(command.checkpoint);
  ledger_.push_back({command.run, "start", now, run.progress_ms});
}

void FakeWorker::End(const records::RunRef& ref, Run& run, RunStatus status,
                     const char* type, Millis at) {
  run.status = status;
  ledger_.push_back({ref, type, at, run.progress_ms});
}

void FakeWorker::Step(Millis now) {
  for (auto& [ref, run] : runs_) {
    if (run.status != RunStatus::kRunning) continue;
    const SimulatedTask task = ParseCommand(run.job.command);
    const std::int64_t speed_divisor = run.throttled ? 2 : 1;
    const Millis end = std::min(now, run.lease_expires_at);
    run.progress_ms += (end - run.last_step_at).count / speed_divisor;
    run.last_step_at = end;
    if (run.progress_ms >= task.duration_ms) {
      const bool fails = fails_all_tasks_ || task.kind == "fail";
      if (fails) run.detail = "exit code 1";
      End(ref, run, fails ? RunStatus::kFailed : RunStatus::kFinished,
          fails ? "fail" : "finish", end);
    } else if (run.lease_expires_at <= now) {
      run.detail = "lease expired at the worker";
      End(ref, run, RunStatus::kStopped, "expire", run.lease_expires_at);
    }
  }
}

infra::SyncReply FakeWorker::Sync(const infra::SyncRequest& request,
                                  Millis now) {
  Step(now);
  for (const auto& run : request.recorded_ends) runs_.erase(run);
  for (const auto& command : request.commands) {
    const auto found = runs_.find(command.run);
    if (found == runs_.end()) {
      if (command.directive == RunDirective::kStop) {
        // Stores the run as stopped, so that a start command that arrives late
        // does not start it.
        Run& refused = runs_[command.run];
        refused.job = command.job;
        refused.status = RunStatus::kStopped;
        refused.detail = "stopped before it started";
      } else if (!command.job.id.empty()) {
        Start(command, now, Millis(request.lease_ms));
      }
      continue;
    }
    Run& run = found->second;
    if (run.status != RunStatus::kRunning) continue;
    run.lease_expires_at = now + Millis(request.lease_ms);
    const bool throttled = command.directive == RunDirective::kThrottle;
    if (throttled != run.throttled) {
      ledger_.push_back({command.run, throttled ? "throttle" : "release", now,
                         run.progress_ms});
    }
    run.throttled = throttled;
    if (command.directive == RunDirective::kStop) {
      End(command.run, run, RunStatus::kStopped, "stop", now);
    }
  }
  const double slowdown = Slowdown();
  infra::SyncReply reply;
  for (const auto& command : request.commands) {
    infra::RunReport report;
    report.run = command.run;
    report.status = RunStatus::kUnknown;
    if (!runs_.contains(command.run)) {
      reply.reports.push_back(report);
      continue;
    }
    const Run& run = runs_.at(command.run);
    report.status = run.status;
    report.detail = run.detail;
    if (run.progress_ms > 0)
      report.checkpoint = std::to_string(run.progress_ms);
    report.usage = UsageOf(run.job);
    report.slowdown = slowdown;
    reply.reports.push_back(report);
  }
  return reply;
}

double FakeWorker::Slowdown() const {
  static constexpr double kThrottledSlowdownFactor = 0.5;
  double slowdown = 1;
  for (const auto& [ref, run] : runs_) {
    if (run.status != RunStatus::kRunning) continue;
    const double factor = run.throttled ? kThrottledSlowdownFactor : 1;
    slowdown += ParseCommand(run.job.command).added_slowdown * factor;
  }
  return slowdown;
}

void FakeWorker::Crash(Millis now) {
  Step(now);
  for (auto& [ref, run] : runs_) {
    if (run.status == RunStatus::kRunning) {
      End(ref, run, RunStatus::kStopped, "crash", now);
    }
  }
  runs_.clear();
}

std::vector<records::RunRef> FakeWorker::RunningRuns() const {
  std::vector<records::RunRef> running;
  for (const auto& [ref, run] : runs_) {
    if (run.status == RunStatus::kRunning) running.push_back(ref);
  }
  return running;
}

records::Resources FakeWorker::ReservedResources() const {
  records::Resources sum;
  for (const auto& [ref, run] : runs_) {
    if (run.status == RunStatus::kRunning) sum = sum + run.job.resources;
  }
  return sum;
}

}  // namespace basilspur::fakes
