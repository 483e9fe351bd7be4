// VMs on which runs fail one after another get no new runs for a while.
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static const TaskRef kTask{kJob, 0, 0, 0};
static constexpr Millis kTick(100);
static constexpr int kFailures = 6;

static void Prepare(SchedulerFixture& fixture) {
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
}

/// Starts the task, reports that it has reached `percent`, and that it has
/// failed. Returns whether it was started.
static bool StartAndFail(SchedulerFixture& fixture, int number, int percent) {
  fixture.now = fixture.now + kTick;
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  if (commands.empty()) return false;
  const int run = commands[0].run;
  fixture.now = fixture.now + kTick;
  fixture.Report("vm", {{kTask, run, "", percent, 0}});
  fixture.now = fixture.now + kTick;
  fixture.Report("vm", {},
                 {fixture.MakeEnd(number, kTask, run, RunEnd::kFailed)});
  fixture.Flush();
  return true;
}

/// Guards against a long-running task without a run beside free VMs: its ends
/// are never done, so that the failures of a whole day were held against VMs.
TEST_CASE("failures of long-running tasks that were at work quarantine no VM") {
  SchedulerFixture fixture;
  Prepare(fixture);
  for (int i = 1; i <= kFailures; ++i)
    CHECK(StartAndFail(fixture, i, /*percent=*/100));
}

TEST_CASE("a VM on which runs fail before they work is quarantined") {
  SchedulerFixture fixture;
  Prepare(fixture);
  int started = 0;
  for (int i = 1; i <= kFailures; ++i)
    started += StartAndFail(fixture, i, /*percent=*/0) ? 1 : 0;
  CHECK(started == fixture.settings.quarantine_failures);
}
