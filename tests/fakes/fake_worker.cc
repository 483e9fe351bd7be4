#include "fakes/fake_worker.h"

#include <algorithm>
#include <sstream>

namespace basilspur::fakes {

using infra::RunDirective;
using infra::RunStatus;

struct Command {
  std::string verb;
  std::int64_t work_ms = 0;
  std::int64_t uses_cpu_millis = 0;  ///< 0: as declared.
  std::int64_t uses_memory_mib = 0;
  double slows_by = 0;
};

static Command ParseCommand(const std::string& text) {
  std::istringstream stream(text);
  Command command;
  stream >> command.verb >> command.work_ms;
  std::string option;
  while (stream >> option) {
    if (option == "uses") {
      stream >> command.uses_cpu_millis >> command.uses_memory_mib;
    }
    if (option == "slows") stream >> command.slows_by;
  }
  return command;
}

static records::Resources UsageOf(const records::JobSpec& job) {
  const Command command = ParseCommand(job.command);
  records::Resources usage = job.resources;
  if (command.uses_cpu_millis > 0) usage.cpu_millis = command.uses_cpu_millis;
  if (command.uses_memory_mib > 0) usage.memory_mib = command.uses_memory_mib;
  return usage;
}

void FakeWorker::Start(const infra::RunCommand& command, Millis now,
                       Millis lease) {
  Run& run = runs_[command.run];
  run.job = command.job;
  run.last_step = now;
  run.lease_until = now + lease;
  // A checkpoint's name is the progress that it holds.
  if (!command.checkpoint.empty())
    run.progress_ms = std::stoll(command.checkpoint);
  ledger_.push_back({command.run, "start", now, run.progress_ms});
}

void FakeWorker::End(const records::RunRef& ref, Run& run, RunStatus status,
                     const char* event, Millis at) {
  run.status = status;
  ledger_.push_back({ref, event, at, run.progress_ms});
}

void FakeWorker::Step(Millis now) {
  for (auto& [ref, run] : runs_) {
    if (run.status != RunStatus::kRunning) continue;
    const Command command = ParseCommand(run.job.command);
    const std::int64_t speed_divisor = run.throttled ? 2 : 1;
    const Millis until = std::min(now, run.lease_until);
    run.progress_ms += (until - run.last_step).count / speed_divisor;
    run.last_step = until;
    if (run.progress_ms >= command.work_ms) {
      const bool fails = broken_ || command.verb == "fail";
      if (fails) run.detail = "exit code 1";
      End(ref, run, fails ? RunStatus::kFailed : RunStatus::kFinished,
          fails ? "fail" : "finish", until);
    } else if (run.lease_until <= now) {
      run.detail = "lease lapsed at the worker";
      End(ref, run, RunStatus::kStopped, "lapse", run.lease_until);
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
        // Remembered, so that a late order to run is refused.
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
    run.lease_until = now + Millis(request.lease_ms);
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
  static constexpr double kThrottledPart = 0.5;
  double slowdown = 1;
  for (const auto& [ref, run] : runs_) {
    if (run.status != RunStatus::kRunning) continue;
    const double part = run.throttled ? kThrottledPart : 1;
    slowdown += ParseCommand(run.job.command).slows_by * part;
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

std::vector<records::RunRef> FakeWorker::Running() const {
  std::vector<records::RunRef> running;
  for (const auto& [ref, run] : runs_) {
    if (run.status == RunStatus::kRunning) running.push_back(ref);
  }
  return running;
}

records::Resources FakeWorker::InUse() const {
  records::Resources sum;
  for (const auto& [ref, run] : runs_) {
    if (run.status == RunStatus::kRunning) sum = sum + run.job.resources;
  }
  return sum;
}

}  // namespace basilspur::fakes
