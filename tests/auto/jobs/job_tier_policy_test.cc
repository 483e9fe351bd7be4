#include "jobs/job_tier_policy.h"

#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr Millis kRunTime(1'000);

static QueueConfig MakeQueue() {
  QueueConfig queue;
  queue.name = "reports";
  queue.objective_factor = 3;
  queue.slack_ms = 400;
  return queue;
}

static Job MakeJob(Millis accepted_at) {
  Job job;
  job.record.spec =
      SchedulerFixture::MakeJob({SchedulerFixture::MakeStep(2, 1'000)});
  job.accepted_at = accepted_at;
  return job;
}

TEST_CASE("a job is deferred once it has waited for a part of its slack") {
  JobTierPolicy policy;
  const Job job = MakeJob(Millis(0));
  const QueueConfig queue = MakeQueue();
  CHECK(policy.TierOf(job, queue, Millis(60'000)) == JobTier::kOnTime);
  policy.OnRunDone("reports", kRunTime);
  CHECK(policy.TierOf(job, queue, Millis(1'000)) == JobTier::kOnTime);
  CHECK(policy.TierOf(job, queue, Millis(3'000)) == JobTier::kDeferred);
}

TEST_CASE("a started job is not deferred, but keeps an earlier deferral") {
  JobTierPolicy policy;
  policy.OnRunDone("reports", kRunTime);
  Job job = MakeJob(Millis(0));
  job.started = true;
  CHECK(policy.TierOf(job, MakeQueue(), Millis(9'000)) == JobTier::kStarted);
  job.tier = JobTier::kDeferred;
  CHECK(policy.TierOf(job, MakeQueue(), Millis(9'000)) ==
        JobTier::kDeferredStarted);
}

TEST_CASE("a relief run does not put its job ahead of jobs on time") {
  JobTierPolicy policy;
  policy.OnRunDone("reports", kRunTime);
  Job job = MakeJob(Millis(0));
  job.started = true;
  job.started_by_relief_only = true;
  CHECK(policy.TierOf(job, MakeQueue(), Millis(1'000)) == JobTier::kOnTime);
  CHECK(policy.TierOf(job, MakeQueue(), Millis(3'000)) == JobTier::kDeferred);
}

TEST_CASE("long-running and recurring jobs are never deferred") {
  JobTierPolicy policy;
  policy.OnRunDone("reports", kRunTime);
  Job long_running_job = MakeJob(Millis(0));
  long_running_job.record.spec.steps[0].long_running = true;
  CHECK(policy.TierOf(long_running_job, MakeQueue(), Millis(60'000)) ==
        JobTier::kOnTime);
  Job recurring_job = MakeJob(Millis(0));
  recurring_job.record.spec.repeats = 4;
  CHECK(policy.TierOf(recurring_job, MakeQueue(), Millis(60'000)) ==
        JobTier::kOnTime);
}

/// Ten jobs arrive at once and then one per second; each occupies the only VM
/// for a second. First come, first served would complete no job after the third
/// within 3.4 s of its arrival.
TEST_CASE("later jobs meet their objective during a sustained overload") {
  SchedulerFixture fixture;
  fixture.queue.objective_factor = 3;
  fixture.queue.slack_ms = 400;
  Catalog catalog;
  catalog.version = 2;
  catalog.queues = {fixture.queue};
  fixture.scheduler.ApplyCatalog(catalog);
  fixture.AddVm("vm");
  const auto step = fixture.MakeStep(1, 16'000);
  int jobs = 0;
  std::map<std::string, Millis> accepted;
  const auto accept = [&] {
    const std::string id = std::string(14, '0') + std::to_string(10 + jobs++);
    accepted[id] = fixture.now;
    ++fixture.wall_ms;
    fixture.Accept(id, fixture.MakeJob({step}));
  };
  for (int i = 0; i < 10; ++i) accept();
  int in_time = 0;
  for (int round = 0; round < 20; ++round) {
    fixture.now = fixture.now + Millis(100);
    const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
    REQUIRE(commands.size() == 1);
    fixture.now = fixture.now + Millis(900);
    fixture.Report(
        "vm", {},
        {fixture.MakeEnd(round + 1, commands[0].task, 1, RunEnd::kDone)});
    const Millis turnaround = fixture.now - accepted.at(commands[0].task.job);
    if (turnaround <= Millis(3'400)) ++in_time;
    if (round < 15) accept();
  }
  CHECK(in_time >= 14);
}
