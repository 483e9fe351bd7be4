#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');

namespace {

/// A gang of two tasks, one on each VM.
struct Gang : SchedulerFixture {
  Gang() {
    AddVm("vm1");
    AddVm("vm2");
    StepSpec step = MakeStep(2, 16'000);
    step.gang = true;
    Accept(kJob, MakeJob({step}));
    starts = PlanAndConfirm();
    REQUIRE(starts.size() == 2);
    Flush();
  }

  void ReportProgress(const RunCommand& start, const std::string& checkpoint) {
    RunningRunReport row;
    row.task = start.task;
    row.run = start.run;
    row.checkpoint = checkpoint;
    Report(start.vm, {row});
  }

  void EndRun(const RunCommand& start, RunEnd end,
              const std::string& checkpoint) {
    EndedRunReport row = MakeEnd(1, start.task, start.run, end);
    row.checkpoint = checkpoint;
    Report(start.vm, {}, {row});
    Flush();
  }

  std::vector<RunCommand> starts;
};

}  // namespace

static void CheckCheckpoints(const std::vector<RunCommand>& commands,
                             const std::string& expected) {
  REQUIRE(commands.size() == 2);
  for (const RunCommand& command : commands) {
    REQUIRE(command.kind == RunCommandKind::kStart);
    CHECK(command.checkpoint == expected);
  }
}

// Each member resumed from the checkpoint that it had reported itself.
TEST_CASE("a gang is started again with several checkpoints") {
  Gang gang;
  std::string newest;
  SECTION("both members have reported one") {
    gang.EndRun(gang.starts[1], RunEnd::kFailed, "older");
    gang.EndRun(gang.starts[0], RunEnd::kBroken, "newest");
    newest = "newest";
  }
  SECTION("one member has reported none") {
    gang.ReportProgress(gang.starts[1], "only");
    gang.EndRun(gang.starts[1], RunEnd::kFailed, "");
    gang.EndRun(gang.starts[0], RunEnd::kBroken, "");
    newest = "only";
  }
  gang.now = gang.now + Millis(60'000);
  gang.Report("vm1", {});
  gang.Report("vm2", {});
  CheckCheckpoints(gang.Plan(), newest);
}

// A journal may hold different checkpoints of the members.
TEST_CASE("a successor starts a gang again with several checkpoints") {
  Gang gang;
  gang.EndRun(gang.starts[1], RunEnd::kFailed, "only");
  gang.EndRun(gang.starts[0], RunEnd::kBroken, "");
  const auto next = gang.TakeOver(10'001);
  gang.now = gang.now + Millis(60'000);
  for (const RunCommand& start : gang.starts) {
    VmReport report;
    report.clock_ms = gang.now.count;
    next->OnReport(start.vm, report, gang.now, gang.now);
  }
  next->OnDurable(next->TakeBatch(gang.wall_ms));
  CheckCheckpoints(next->Plan(gang.wall_ms, gang.now), "only");
}
