#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kJob[] = "00000000000000aa";
static constexpr int kFirstRunOfNextTerm = 17;

TEST_CASE(
    "a job of two steps ends although another owner has seen the end of the "
    "first") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec second = SchedulerFixture::MakeStep(1, 1'000);
  second.dependencies = {0};
  fixture.Accept(kJob, SchedulerFixture::MakeJob(
                           {SchedulerFixture::MakeStep(1, 1'000), second}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Report(
      "vm", {},
      {SchedulerFixture::MakeEnd(1, {kJob, 0, 0, 0}, 1, RunEnd::kDone)});
  fixture.Flush();

  const std::unique_ptr<Scheduler> next = fixture.TakeOver(kFirstRunOfNextTerm);
  const auto report = [&](std::vector<EndedRunReport> ended) {
    VmReport answer;
    answer.clock_ms = fixture.now.count;
    answer.ended = std::move(ended);
    next->NextDeadline("vm", fixture.now);
    next->OnReport("vm", answer, fixture.now, fixture.now);
  };
  report({});
  const std::vector<RunCommand> commands =
      next->Plan(fixture.wall_ms, fixture.now);
  REQUIRE(commands.size() == 1);
  REQUIRE(commands[0].task.step == 1);
  report({SchedulerFixture::MakeEnd(2, commands[0].task, commands[0].run,
                                    RunEnd::kDone)});
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->VisibleStateOf(kJob) == VisibleJobState::kDone);
}
