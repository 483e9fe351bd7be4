#include "jobs/unplaceable_tasks.h"

#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kService = "workers";

static StepSpec MakeStep(std::int64_t cpu_millis, const char* image) {
  StepSpec step = SchedulerFixture::MakeStep(1, cpu_millis);
  step.image = image;
  return step;
}

TEST_CASE("tasks of the same kind that need as much or more are covered") {
  UnplaceableTasks unplaceable;
  unplaceable.Add(MakeStep(2'000, "a"), kService);
  CHECK(unplaceable.Covers(MakeStep(2'000, "a"), kService));
  CHECK(unplaceable.Covers(MakeStep(3'000, "a"), kService));
  CHECK(!unplaceable.Covers(MakeStep(1'999, "a"), kService));
  CHECK(!unplaceable.Covers(MakeStep(2'000, "b"), kService));
  CHECK(!unplaceable.Covers(MakeStep(2'000, "a"), "others"));
  StepSpec labelled = MakeStep(2'000, "a");
  labelled.required_label = "fast";
  CHECK(!unplaceable.Covers(labelled, kService));
  StepSpec less_memory = MakeStep(9'000, "a");
  less_memory.need.memory_mib = 1;
  CHECK(!unplaceable.Covers(less_memory, kService));
}

TEST_CASE("a step with a limit of tasks per VM does not cover other steps") {
  UnplaceableTasks unplaceable;
  StepSpec spread = MakeStep(2'000, "a");
  spread.max_per_vm = 1;
  unplaceable.Add(spread, kService);
  CHECK(!unplaceable.Covers(MakeStep(2'000, "a"), kService));
  unplaceable.Add(MakeStep(2'000, "a"), kService);
  CHECK(unplaceable.Covers(spread, kService));
}

TEST_CASE("a small task is placed while a larger one waits") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(std::string(16, 'a'),
                 fixture.MakeJob({fixture.MakeStep(3, 10'000)}));
  fixture.Accept(std::string(16, 'b'),
                 fixture.MakeJob({fixture.MakeStep(1, 4'000)}));
  const std::vector<RunCommand> commands = fixture.Plan();
  REQUIRE(commands.size() == 2);
  CHECK(commands[1].task.job == std::string(16, 'b'));
}
