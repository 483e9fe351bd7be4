#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');

/// A job with one task, whose start has been sent to "vm".
struct SentStart : SchedulerFixture {
  SentStart() {
    AddVm("vm");
    Accept(kJob, MakeJob({MakeStep(1, 1'000)}));
    const std::vector<RunCommand> commands = Plan();
    REQUIRE(commands.size() == 1);
    start = commands.front();
  }

  RunCommand start;
};

TEST_CASE("a job whose starts are refused is pending") {
  // It was missing from the count of pending jobs, and said to be running,
  // though a VM had refused all its starts for seconds.
  SentStart cell;
  CHECK(cell.scheduler.PendingJobs(cell.queue.name) == 1);
  cell.Answer(cell.start, RunCommandOutcome::kRefused);
  cell.Flush();
  CHECK(cell.scheduler.PendingJobs(cell.queue.name) == 1);
  CHECK(cell.scheduler.VisibleStateOf(kJob) == VisibleJobState::kQueued);
}

TEST_CASE("a job with a start that may have been carried out is not pending") {
  // Its task may be at work.
  const auto outcome =
      GENERATE(RunCommandOutcome::kDone, RunCommandOutcome::kUnknown,
               RunCommandOutcome::kSuperseded);
  SentStart cell;
  cell.Answer(cell.start, outcome);
  CHECK(cell.scheduler.PendingJobs(cell.queue.name) == 0);
  CHECK(cell.scheduler.VisibleStateOf(kJob) == VisibleJobState::kRunning);
}

TEST_CASE("a job whose run is reported is not pending") {
  // The answer to the start may be lost or late.
  SentStart cell;
  cell.Report("vm", {{cell.start.task, cell.start.run, "", 10, 0}});
  CHECK(cell.scheduler.PendingJobs(cell.queue.name) == 0);
}
