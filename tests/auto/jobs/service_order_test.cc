#include "jobs/service_order.h"

#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr Millis kRun(1'000);

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

TEST_CASE(
    "a job is deferred once it has waited for part of what it can spare") {
  ServiceOrder order;
  const Job job = MakeJob(Millis(0));
  const QueueConfig queue = MakeQueue();
  CHECK(order.TierOf(job, queue, Millis(60'000)) == JobTier::kOnTime);
  order.OnRunDone("reports", kRun);
  CHECK(order.TierOf(job, queue, Millis(1'000)) == JobTier::kOnTime);
  CHECK(order.TierOf(job, queue, Millis(3'000)) == JobTier::kDeferred);
}

TEST_CASE("a job that has begun is not deferred, and one deferred stays so") {
  ServiceOrder order;
  order.OnRunDone("reports", kRun);
  Job job = MakeJob(Millis(0));
  job.started = true;
  CHECK(order.TierOf(job, MakeQueue(), Millis(9'000)) == JobTier::kStarted);
  job.tier = JobTier::kDeferred;
  CHECK(order.TierOf(job, MakeQueue(), Millis(9'000)) ==
        JobTier::kDeferredStarted);
}

TEST_CASE("jobs that last, or run at set times, are never deferred") {
  ServiceOrder order;
  order.OnRunDone("reports", kRun);
  Job lasting = MakeJob(Millis(0));
  lasting.record.spec.steps[0].long_running = true;
  CHECK(order.TierOf(lasting, MakeQueue(), Millis(60'000)) == JobTier::kOnTime);
  Job timed = MakeJob(Millis(0));
  timed.record.spec.repeats = 4;
  CHECK(order.TierOf(timed, MakeQueue(), Millis(60'000)) == JobTier::kOnTime);
}

/// Ten jobs come at once, and then one in each second; each takes the only VM
/// for a second. Served in the order of arrival, none after the third would be
/// done within 3.4 s of its arrival.
TEST_CASE("in a lasting burst, jobs that come later are done in time") {
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
  for (int turn = 0; turn < 20; ++turn) {
    fixture.now = fixture.now + Millis(100);
    const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
    REQUIRE(commands.size() == 1);
    fixture.now = fixture.now + Millis(900);
    fixture.Report(
        "vm", {},
        {fixture.MakeEnd(turn + 1, commands[0].task, 1, RunEnd::kDone)});
    const Millis took = fixture.now - accepted.at(commands[0].task.job);
    if (took <= Millis(3'400)) ++in_time;
    if (turn < 15) accept();
  }
  CHECK(in_time >= 14);
}
