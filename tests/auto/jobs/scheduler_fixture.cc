#include "auto/jobs/scheduler_fixture.h"

#include <utility>

#include "jobs/progress_parts.h"

namespace basilspur::jobs {

static constexpr Millis kCallTime(10);

SchedulerFixture::SchedulerFixture() {
  queue.name = "reports";
  queue.service = "workers";
  queue.attempts = 2;
  Catalog catalog;
  catalog.version = 1;
  catalog.queues = {queue};
  scheduler.ApplyCatalog(catalog);
}

StepSpec SchedulerFixture::MakeStep(int count, std::int64_t cpu_millis) {
  StepSpec step;
  step.count = count;
  step.need = {cpu_millis, 1'000, 0};
  return step;
}

JobSpec SchedulerFixture::MakeJob(std::vector<StepSpec> steps) {
  JobSpec job;
  job.payload = "work";
  job.steps = std::move(steps);
  return job;
}

EndedRunReport SchedulerFixture::MakeEnd(std::int64_t number,
                                         const TaskRef& task, int run,
                                         RunEnd end) {
  EndedRunReport row;
  row.number = number;
  row.task = task;
  row.run = run;
  row.end = end;
  return row;
}

void SchedulerFixture::AddVm(const std::string& id, const std::string& rack) {
  VmListing listing;
  listing.id = id;
  listing.address = id + ":1";
  listing.service = "workers";
  listing.kind = "a";
  listing.rack = rack;
  listing.capacity = {16'000, 64'000, 0};
  listings.push_back(listing);
  scheduler.UpsertVm(listing, now);
  Report(id, {});
  Flush();
}

void SchedulerFixture::Accept(const std::string& id, JobSpec spec) {
  scheduler.Submit(id, queue, std::move(spec), wall_ms, now);
  Flush();
}

void SchedulerFixture::Flush() {
  const JournalBatch batch = scheduler.TakeBatch(wall_ms);
  Write(batch);
  scheduler.OnDurable(batch);
}

void SchedulerFixture::Write(const JournalBatch& batch) {
  for (const JournalEntry& entry : batch.entries) {
    if (entry.value.empty()) {
      journal.erase(entry.key);
    } else {
      journal[entry.key] = entry.value;
    }
  }
}

std::vector<RunCommand> SchedulerFixture::Plan() {
  return scheduler.Plan(wall_ms, now);
}

std::vector<RunCommand> SchedulerFixture::PlanAndConfirm() {
  std::vector<RunCommand> commands = Plan();
  for (const RunCommand& command : commands)
    Answer(command, RunCommandOutcome::kDone);
  return commands;
}

void SchedulerFixture::Answer(const RunCommand& command,
                              RunCommandOutcome outcome) {
  const Millis sent = now;
  scheduler.NextDeadline(command.vm, sent);
  now = now + kCallTime;
  scheduler.OnCommandOutcome(command, outcome, ClockOf(command.vm), sent, now);
}

void SchedulerFixture::RestartWorker(const std::string& vm) {
  workers_[vm].start_ms += 1'000;
  workers_[vm].clock_zero = now;
}

void SchedulerFixture::ReportNewWorker(const std::string& vm) {
  Report(vm, {});
  Report(vm, {});
  Flush();
}

void SchedulerFixture::Report(const std::string& vm,
                              std::vector<RunningRunReport> running,
                              std::vector<EndedRunReport> ended) {
  const Millis sent = now;
  scheduler.NextDeadline(vm, sent);
  now = now + kCallTime;
  VmReport report;
  report.clock_ms = ClockOf(vm);
  report.worker_start_ms = workers_[vm].start_ms;
  report.running = std::move(running);
  report.ended = std::move(ended);
  scheduler.OnReport(vm, report, sent, now);
}

std::unique_ptr<Scheduler> SchedulerFixture::TakeOver(
    int first_run_number,
    const std::function<void(Scheduler&)>& before_restore) {
  auto next = std::make_unique<Scheduler>(settings);
  Catalog catalog;
  catalog.version = 1;
  catalog.queues = {queue};
  next->ApplyCatalog(catalog);
  for (const VmListing& listing : listings) next->UpsertVm(listing, now);
  if (before_restore) before_restore(*next);
  for (const auto& [key, value] : journal) {
    if (!key.starts_with('v')) continue;
    const auto record = records::Decode<VmRecord>(value);
    next->RestoreVm(key.substr(1), ValueOf(record), now);
  }
  for (const auto& [key, value] : journal) {
    if (!key.starts_with('j')) continue;
    const std::string id = key.substr(1);
    std::optional<ProgressRecord> progress;
    for (const auto& [part_key, part] : journal) {
      if (part_key.starts_with('p') && JobOfProgressKey(part_key) == id)
        MergeProgress(ValueOf(records::Decode<ProgressRecord>(part)), progress);
    }
    next->Restore(id, ValueOf(records::Decode<JobRecord>(value)), progress,
                  wall_ms, now);
  }
  next->FinishRestore(first_run_number, now);
  return next;
}

}  // namespace basilspur::jobs
