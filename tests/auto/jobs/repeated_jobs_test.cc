// Jobs of many tasks: what their records and their state in memory take.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr std::int64_t kIntervalMs = 120;
/// The platform's limit of a record.
static constexpr std::size_t kMaxRecordBytes = 262'144;

static JobSpec MakeSeries(int width, int repeats, std::int64_t first_start_ms) {
  StepSpec step = SchedulerFixture::MakeStep(width, 100);
  step.need.memory_mib = 10;
  JobSpec job = SchedulerFixture::MakeJob({step});
  job.repeats = repeats;
  job.interval_ms = kIntervalMs;
  job.first_start_ms = first_start_ms;
  return job;
}

static std::size_t LongestRecord(const SchedulerFixture& fixture) {
  std::size_t longest = 0;
  for (const auto& [key, value] : fixture.journal)
    longest = std::max(longest, 1 + key.size() + value.size());
  return longest;
}

static std::size_t ProgressBytes(const SchedulerFixture& fixture) {
  std::size_t bytes = 0;
  for (const auto& [key, value] : fixture.journal)
    if (key.starts_with('p')) bytes += key.size() + value.size();
  return bytes;
}

/// Lets the next occurrence become due and ends everything that is started.
/// Returns the started tasks.
static std::vector<TaskRef> RunOnce(SchedulerFixture& fixture,
                                    std::int64_t& ends) {
  fixture.wall_ms += kIntervalMs;
  std::vector<TaskRef> tasks;
  std::vector<EndedRunReport> ended;
  for (const RunCommand& command : fixture.Plan()) {
    tasks.push_back(command.task);
    ended.push_back(SchedulerFixture::MakeEnd(++ends, command.task, command.run,
                                              RunEnd::kDone));
  }
  fixture.Report("vm", {}, ended);
  fixture.Flush();
  return tasks;
}

/// Each finished occurrence stayed in the job's record, which outgrew the
/// store's limit and could not be written any more.
TEST_CASE("the record of a job that repeats often stays short") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, MakeSeries(36, 600, fixture.wall_ms));
  std::int64_t ends = 0;
  std::size_t starts = 0;
  std::size_t longest = 0;
  for (int i = 0; i < 500; ++i) {
    starts += RunOnce(fixture, ends).size();
    longest = std::max(longest, LongestRecord(fixture));
  }
  CHECK(starts >= 490u * 36);
  CHECK(longest < kMaxRecordBytes);
  CHECK(ProgressBytes(fixture) < 16'384);
}

/// All past occurrences became due at once, and took memory without bound.
TEST_CASE("past occurrences become due in bounded parts") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  const std::int64_t past = fixture.wall_ms - 1'000 * kIntervalMs;
  fixture.Accept(kJob, MakeSeries(100, 1'000, past));
  fixture.Plan();
  CHECK(fixture.scheduler.Summary(fixture.now).waiting_tasks <= 10'000);
}

/// A single record listed all tasks of the job.
TEST_CASE("the progress of a job with many running tasks fits into records") {
  SchedulerFixture fixture;
  VmListing listing;
  listing.id = "vm-with-a-long-name-0123456789";
  listing.address = "vm:1";
  listing.service = "workers";
  listing.capacity = {1'000'000, 1'000'000, 0};
  fixture.scheduler.UpsertVm(listing, fixture.now);
  fixture.listings.push_back(listing);
  fixture.Report(listing.id, {});
  fixture.Flush();
  fixture.Accept(kJob, MakeSeries(5'000, 1, fixture.wall_ms));
  std::vector<RunCommand> starts;
  do {
    for (const RunCommand& start : fixture.Plan()) starts.push_back(start);
  } while (fixture.scheduler.HasMoreToPlan());
  REQUIRE(starts.size() == 5'000);
  std::vector<RunningRunReport> running;
  for (const RunCommand& start : starts) {
    RunningRunReport& row = running.emplace_back();
    row.task = start.task;
    row.run = start.run;
    row.checkpoint = "0123456789abcdef";
  }
  fixture.Report(listing.id, running);
  fixture.Flush();
  CHECK(LongestRecord(fixture) < kMaxRecordBytes);
  SECTION("a later owner knows all of them") {
    const auto successor = fixture.TakeOver(17);
    CHECK(successor->Summary(fixture.now).runs == 5'000);
  }
  SECTION("nothing of it is left in the journal after the job") {
    std::vector<EndedRunReport> ended;
    std::int64_t number = 0;
    for (const RunCommand& start : starts) {
      ended.push_back(SchedulerFixture::MakeEnd(++number, start.task, start.run,
                                                RunEnd::kDone));
    }
    fixture.Report(listing.id, {}, ended);
    fixture.Flush();
    CHECK(ProgressBytes(fixture) == 0);
  }
}

TEST_CASE("a later owner starts no task of a finished occurrence") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, MakeSeries(10, 300, fixture.wall_ms));
  std::int64_t ends = 0;
  std::set<TaskRef> done;
  for (int i = 0; i < 100; ++i) {
    const auto tasks = RunOnce(fixture, ends);
    done.insert(tasks.begin(), tasks.end());
  }
  const auto successor = fixture.TakeOver(17);
  VmReport report;
  report.clock_ms = fixture.now.count;
  successor->OnReport("vm", report, fixture.now, fixture.now);
  successor->OnDurable(successor->TakeBatch(fixture.wall_ms));
  fixture.now = fixture.now + Millis(100);
  fixture.wall_ms += kIntervalMs;
  const auto starts = successor->Plan(fixture.wall_ms, fixture.now);
  CHECK(!starts.empty());
  CHECK(std::none_of(
      starts.begin(), starts.end(),
      [&](const RunCommand& start) { return done.contains(start.task); }));
}

TEST_CASE("an unfinished occurrence does not keep later ones from their turn") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, MakeSeries(2, 9'000, fixture.wall_ms));
  std::int64_t ends = 0;
  fixture.wall_ms += kIntervalMs;
  // The first tasks run on for all of the time.
  const auto first = fixture.PlanAndConfirm();
  REQUIRE(!first.empty());
  int started = 0;
  for (int i = 0; i < 200; ++i) {
    fixture.wall_ms += kIntervalMs;
    std::vector<EndedRunReport> ended;
    for (const RunCommand& command : fixture.Plan()) {
      if (command.kind != RunCommandKind::kStart) continue;
      ++started;
      ended.push_back(SchedulerFixture::MakeEnd(++ends, command.task,
                                                command.run, RunEnd::kDone));
    }
    std::vector<RunningRunReport> running;
    for (const RunCommand& command : first) {
      RunningRunReport& row = running.emplace_back();
      row.task = command.task;
      row.run = command.run;
      row.percent = i / 4;
    }
    fixture.Report("vm", running, ended);
    fixture.Flush();
  }
  CHECK(started >= 398);
  CHECK(ProgressBytes(fixture) < 4'096);
}
