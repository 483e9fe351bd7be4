#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kLongRunningJob(16, 'a');
static const TaskRef kTask{kLongRunningJob, 0, 0, 0};

static std::string ShortId(int number) {
  return "b" + std::string(13, '0') + std::to_string(10 + number);
}

static JobSpec MakeLongRunning(std::int64_t cpu_millis) {
  StepSpec step = SchedulerFixture::MakeStep(1, cpu_millis);
  step.long_running = true;
  return SchedulerFixture::MakeJob({step});
}

static std::vector<RunCommand> OfKind(const std::vector<RunCommand>& commands,
                                      RunCommandKind kind) {
  std::vector<RunCommand> found;
  std::copy_if(commands.begin(), commands.end(), std::back_inserter(found),
               [&](const RunCommand& command) { return command.kind == kind; });
  return found;
}

/// Guards against starvation: short tasks that need a quarter of a VM fill each
/// quarter as soon as it is free, so that the half that a long-running task
/// needs is never free at once.
TEST_CASE("short tasks do not starve a long-running one") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  std::vector<RunCommand> running;
  int jobs = 0;
  const auto submit = [&] {
    fixture.Accept(ShortId(jobs++),
                   fixture.MakeJob({fixture.MakeStep(1, 4'000)}));
  };
  for (int i = 0; i < 6; ++i) submit();
  running = fixture.PlanAndConfirm();
  REQUIRE(running.size() == 4);
  fixture.Accept(kLongRunningJob, MakeLongRunning(8'000));
  int turns = 0;
  for (bool started = false; !started; ++turns) {
    REQUIRE(turns < 12);
    submit();
    fixture.now = fixture.now + Millis(200);
    std::vector<RunningRunReport> rows;
    for (std::size_t i = 1; i < running.size(); ++i) {
      rows.push_back({running[i].task, running[i].run, "", 50, 0});
    }
    const TaskRef ended = running.front().task;
    running.erase(running.begin());
    fixture.Report("vm", rows,
                   {fixture.MakeEnd(turns + 1, ended, 1, RunEnd::kDone)});
    for (const RunCommand& command : fixture.PlanAndConfirm()) {
      running.push_back(command);
      started = started || command.task.job == kLongRunningJob;
    }
  }
}

TEST_CASE(
    "a long-running task is moved off a draining VM once another has room") {
  SchedulerFixture fixture;
  fixture.AddVm("draining");
  fixture.Accept(kLongRunningJob, MakeLongRunning(6'000));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  const RunningRunReport row{kTask, 1, "", 100, 0};
  fixture.Report("draining", {row});
  VmListing draining_vm = fixture.listings[0];
  draining_vm.draining = true;
  fixture.scheduler.UpsertVm(draining_vm, fixture.now);
  fixture.now = fixture.now + Millis(200);
  CHECK(fixture.Plan().empty());
  fixture.AddVm("other");
  fixture.now = fixture.now + Millis(200);
  const std::vector<RunCommand> stops =
      OfKind(fixture.PlanAndConfirm(), RunCommandKind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].vm == "draining");
  // The task starts elsewhere only once the end of its run is known.
  fixture.now = fixture.now + Millis(200);
  CHECK(OfKind(fixture.Plan(), RunCommandKind::kStart).empty());
  fixture.Report("draining", {},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kStopped)});
  const std::vector<RunCommand> starts =
      OfKind(fixture.Plan(), RunCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == "other");
  CHECK(starts[0].run == 2);
}

TEST_CASE("short tasks stay on a draining VM") {
  SchedulerFixture fixture;
  fixture.AddVm("draining");
  fixture.Accept(kLongRunningJob,
                 fixture.MakeJob({fixture.MakeStep(1, 6'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Report("draining", {{kTask, 1, "", 50, 0}});
  VmListing draining_vm = fixture.listings[0];
  draining_vm.draining = true;
  fixture.scheduler.UpsertVm(draining_vm, fixture.now);
  fixture.AddVm("other");
  fixture.now = fixture.now + Millis(200);
  CHECK(fixture.Plan().empty());
}

/// Two tasks have to be moved, and the only other VM has room for one of them.
/// Without a reservation for the first, the second would be stopped in vain.
TEST_CASE(
    "no task is stopped for room that is reserved for another moving task") {
  SchedulerFixture fixture;
  fixture.AddVm("draining");
  StepSpec step = SchedulerFixture::MakeStep(2, 6'000);
  step.long_running = true;
  fixture.Accept(kLongRunningJob, fixture.MakeJob({step}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.Report("draining", {{kTask, 1, "", 100, 0},
                              {{kLongRunningJob, 0, 0, 1}, 1, "", 100, 0}});
  VmListing other = fixture.listings[0];
  VmListing draining_vm = other;
  draining_vm.draining = true;
  fixture.scheduler.UpsertVm(draining_vm, fixture.now);
  other.id = "other";
  other.capacity.cpu_millis = 8'000;
  fixture.scheduler.UpsertVm(other, fixture.now);
  fixture.Report("other", {});
  fixture.Flush();
  int stops = 0;
  for (int i = 0; i < 5; ++i) {
    fixture.now = fixture.now + Millis(150);
    stops += static_cast<int>(
        OfKind(fixture.PlanAndConfirm(), RunCommandKind::kStop).size());
  }
  CHECK(stops == 1);
}

/// Of the 16 cores of a VM, 6 are free and a short task uses the rest. A
/// long-running task waits for 12 cores; a smaller one is submitted after it.
TEST_CASE(
    "room reserved for a large task is open to a long-running one that fits") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(ShortId(0), fixture.MakeJob({fixture.MakeStep(1, 10'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Accept(kLongRunningJob, MakeLongRunning(12'000));
  CHECK(fixture.Plan().empty());
  const std::string smaller(16, 'c');
  fixture.Accept(smaller, MakeLongRunning(5'000));
  fixture.now = fixture.now + Millis(100);
  const std::vector<RunCommand> commands = fixture.Plan();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].task.job == smaller);
}

TEST_CASE(
    "best-effort runs do not use the memory reserved for a waiting task") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec large = SchedulerFixture::MakeStep(1, 10'000);
  large.need.memory_mib = 40'000;
  fixture.Accept(ShortId(0), fixture.MakeJob({large}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  StepSpec long_running_step = large;
  long_running_step.long_running = true;
  fixture.Accept(kLongRunningJob, fixture.MakeJob({long_running_step}));
  CHECK(fixture.Plan().empty());
  StepSpec best_effort = SchedulerFixture::MakeStep(4, 1'000);
  best_effort.best_effort = true;
  best_effort.need.memory_mib = 20'000;
  fixture.Accept(ShortId(1), fixture.MakeJob({best_effort}));
  fixture.now = fixture.now + Millis(100);
  CHECK(fixture.Plan().empty());
}
