#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kJob[] = "00000000000000aa";
static const TaskRef kTask{kJob, 0, 0, 0};

static std::vector<RunCommand> OfKind(const std::vector<RunCommand>& commands,
                                      RunCommandKind kind) {
  std::vector<RunCommand> found;
  std::copy_if(
      commands.begin(), commands.end(), std::back_inserter(found),
      [kind](const RunCommand& command) { return command.kind == kind; });
  return found;
}

static RunningRunReport MakeRunning(const TaskRef& task, int run,
                                    int percent = 10) {
  RunningRunReport row;
  row.task = task;
  row.run = run;
  row.percent = percent;
  return row;
}

TEST_CASE(
    "a job starts once it is durable, and is reported as done once its end is "
    "durable") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.scheduler.Submit(kJob, fixture.queue,
                           fixture.MakeJob({fixture.MakeStep(1, 1'000)}),
                           fixture.wall_ms, fixture.now);
  CHECK(fixture.Plan().empty());
  CHECK(!fixture.scheduler.IsAccepted(kJob));
  fixture.Flush();
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kQueued);
  CHECK(fixture.scheduler.PendingJobs("reports") == 1);
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  CHECK(fixture.scheduler.PendingJobs("reports") == 0);
  fixture.Report("vm", {}, {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kRunning);
  CHECK(fixture.scheduler.EndToAcknowledge("vm") == 0);
  fixture.Flush();
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
  CHECK(fixture.scheduler.EndToAcknowledge("vm") == 1);
}

TEST_CASE("a step waits for all tasks of the steps that it depends on") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec second = fixture.MakeStep(1, 1'000);
  second.dependencies = {0};
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 1'000), second}));
  CHECK(fixture.PlanAndConfirm().size() == 2);
  fixture.Report("vm", {MakeRunning({kJob, 0, 0, 1}, 1)},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  CHECK(fixture.PlanAndConfirm().empty());
  fixture.Report("vm", {},
                 {fixture.MakeEnd(2, {kJob, 0, 0, 1}, 1, RunEnd::kDone)});
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].task.step == 1);
}

TEST_CASE(
    "no VM gets more than its capacity, and runs being stopped still count") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(5, 6'000)}));
  CHECK(fixture.PlanAndConfirm().size() == 2);
  fixture.scheduler.Cancel(kJob, fixture.wall_ms);
  fixture.Accept("00000000000000bb",
                 fixture.MakeJob({fixture.MakeStep(1, 6'000)}));
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  CHECK(OfKind(commands, RunCommandKind::kStop).size() == 2);
  CHECK(OfKind(commands, RunCommandKind::kStart).empty());
  // For a while, a run that is being stopped is reported neither as running nor
  // as ended.
  fixture.now = fixture.now + Millis(300);
  fixture.Report("vm", {});
  CHECK(OfKind(fixture.Plan(), RunCommandKind::kStart).empty());
  fixture.Report("vm", {},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kStopped),
                  fixture.MakeEnd(2, {kJob, 0, 0, 1}, 1, RunEnd::kStopped)});
  CHECK(OfKind(fixture.Plan(), RunCommandKind::kStart).size() == 1);
}

TEST_CASE("a later refusal does not cancel an unanswered start") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("other");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 12'000)}));
  const std::vector<RunCommand> first = fixture.Plan();
  REQUIRE(first.size() == 1);
  fixture.Answer(first[0], RunCommandOutcome::kUnknown);
  for (int i = 0; i < 20; ++i) {
    fixture.now = fixture.now + Millis(100);
    for (const RunCommand& command : fixture.Plan()) {
      // It is resent neither to another VM nor with another run number.
      CHECK(command.vm == first[0].vm);
      CHECK(command.run == 1);
      fixture.Answer(command, RunCommandOutcome::kRefused);
    }
  }
}

TEST_CASE(
    "runs of an unreachable VM start elsewhere only after their lease "
    "expires") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.AddVm("other");
  const Millis unreachable_at = fixture.now;
  fixture.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, fixture.now);
  while (fixture.now - unreachable_at < fixture.settings.lease_duration) {
    // Further attempts to reach the VM must not extend the lease.
    CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) == 0);
    CHECK(OfKind(fixture.Plan(), RunCommandKind::kStart).empty());
    fixture.now = fixture.now + Millis(100);
    fixture.Report("other", {});
  }
  fixture.now = fixture.now + Millis(500);
  fixture.Report("other", {});
  const std::vector<RunCommand> commands = fixture.Plan();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].vm == "other");
  CHECK(commands[0].run == 2);
}

TEST_CASE(
    "a job fails once its attempts are used up, and its other runs are "
    "stopped") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.Flush();
  const RunningRunReport other = MakeRunning({kJob, 0, 0, 1}, 1);
  fixture.Report("vm", {other},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kFailed)});
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Report("vm", {other},
                 {fixture.MakeEnd(2, kTask, 2, RunEnd::kFailed)});
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStop);
  fixture.Flush();
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

TEST_CASE("a long-running task is restarted after any number of failures") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  for (int run = 1; run < 6; ++run) {
    const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
    REQUIRE(commands.size() == 1);
    CHECK(commands[0].run == run);
    fixture.Report("vm", {},
                   {fixture.MakeEnd(run, kTask, run, RunEnd::kFailed)});
    fixture.now = fixture.now + fixture.settings.quarantine_duration;
    fixture.Report("vm", {});
  }
}

TEST_CASE("a new owner discovers existing runs and starts no task twice") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  // The owner crashes before the start is in the journal.
  const auto next = fixture.TakeOver(17);
  CHECK(next->Plan(fixture.wall_ms, fixture.now).empty());
  VmReport report;
  report.clock_ms = fixture.now.count;
  report.running = {MakeRunning(kTask, 1)};
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  CHECK(next->Plan(fixture.wall_ms, fixture.now + Millis(5)).empty());
}

TEST_CASE("run ends without a journal record count in any order of arrival") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("other");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const bool latest_first = GENERATE(true, false);
  const auto next = fixture.TakeOver(17);
  const auto report = [&](const char* vm, int run) {
    VmReport answer;
    answer.clock_ms = fixture.now.count;
    answer.ended = {fixture.MakeEnd(1, kTask, run, RunEnd::kFailed)};
    next->OnReport(vm, answer, fixture.now, fixture.now + Millis(5));
  };
  report(latest_first ? "other" : "vm", latest_first ? 2 : 1);
  report(latest_first ? "vm" : "other", latest_first ? 1 : 2);
  // The queue allows two attempts, and both have failed.
  CHECK(OfKind(next->Plan(fixture.wall_ms, fixture.now), RunCommandKind::kStart)
            .empty());
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

TEST_CASE("a run end that is in the journal is not counted again") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  const EndedRunReport failed = fixture.MakeEnd(1, kTask, 1, RunEnd::kFailed);
  fixture.Report("vm", {}, {failed});
  fixture.Flush();
  const auto next = fixture.TakeOver(17);
  VmReport report;
  report.clock_ms = fixture.now.count;
  report.ended = {failed};
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  const std::vector<RunCommand> commands =
      next->Plan(fixture.wall_ms, fixture.now + Millis(500));
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStart);
  CHECK(commands[0].run == 17);
}

TEST_CASE("a new owner waits for runs that the previous one was stopping") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 12'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Flush();
  fixture.scheduler.Cancel(kJob, fixture.wall_ms);
  fixture.Flush();
  fixture.Accept("00000000000000bb",
                 fixture.MakeJob({fixture.MakeStep(1, 12'000)}));
  const auto next = fixture.TakeOver(17);
  VmReport report;
  report.clock_ms = fixture.now.count;
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  const auto starts = [&] {
    return OfKind(next->Plan(fixture.wall_ms, fixture.now),
                  RunCommandKind::kStart)
        .size();
  };
  CHECK(starts() == 0);
  fixture.now = fixture.now + Millis(1'500);
  report.clock_ms = fixture.now.count;
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  CHECK(starts() == 1);
}

TEST_CASE("runs of a VM that answered a stop, but no renewal, are kept") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.Accept("00000000000000bb",
                 fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.scheduler.Cancel(kJob, fixture.wall_ms);
  fixture.Flush();
  fixture.AddVm("other");
  const auto next = fixture.TakeOver(17);
  VmReport idle;
  idle.clock_ms = fixture.now.count;
  next->OnReport("other", idle, fixture.now, fixture.now + Millis(5));
  const std::vector<RunCommand> stops =
      next->Plan(fixture.wall_ms, fixture.now);
  REQUIRE(stops.size() == 1);
  next->OnCommandOutcome(stops[0], RunCommandOutcome::kDone, fixture.now.count,
                         fixture.now, fixture.now + Millis(5));
  CHECK(OfKind(next->Plan(fixture.wall_ms, fixture.now + Millis(10)),
               RunCommandKind::kStart)
            .empty());
}

TEST_CASE("a run end after a lease expiry counts, one before it does not") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  const TaskRef second{kJob, 0, 0, 1};
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.Report("vm", {},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone),
                  fixture.MakeEnd(2, {"removed", 0, 0, 0}, 1, RunEnd::kLapsed),
                  fixture.MakeEnd(3, second, 1, RunEnd::kDone)});
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].task == kTask);
}

TEST_CASE("a new owner takes the number of attempts from the job's record") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Flush();
  fixture.queue.name = "another";  // The queue was removed in the meantime.
  const auto next = fixture.TakeOver(17);
  VmReport report;
  report.clock_ms = fixture.now.count;
  report.ended = {fixture.MakeEnd(1, kTask, 1, RunEnd::kFailed)};
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->VisibleStateOf(kJob) == VisibleJobState::kRunning);
}

TEST_CASE("a gang starts completely and with one run number, or not at all") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(3, 8'000);
  step.gang = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  CHECK(fixture.Plan().empty());
  fixture.AddVm("other");
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  REQUIRE(commands.size() == 3);
  for (const RunCommand& command : commands) CHECK(command.run == 1);
  fixture.Report(commands[0].vm, {},
                 {fixture.MakeEnd(1, commands[0].task, 1, RunEnd::kDone)});
  fixture.Flush();
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
}

TEST_CASE(
    "placement respects labels, data racks and the limit of tasks per VM") {
  SchedulerFixture fixture;
  fixture.AddVm("vm1", "r1");
  fixture.AddVm("vm2", "r2");
  SECTION("a required label") {
    StepSpec step = fixture.MakeStep(4, 1'000);
    step.required_label = "r2";
    fixture.Accept(kJob, fixture.MakeJob({step}));
    for (const RunCommand& command : fixture.Plan()) CHECK(command.vm == "vm2");
  }
  SECTION("the data's rack is preferred") {
    StepSpec step = fixture.MakeStep(2, 1'000);
    step.data_rack = "r2";
    fixture.Accept(kJob, fixture.MakeJob({step}));
    for (const RunCommand& command : fixture.Plan()) CHECK(command.vm == "vm2");
  }
  SECTION("the maximum number of tasks per VM") {
    StepSpec step = fixture.MakeStep(5, 100);
    step.max_per_vm = 2;
    fixture.Accept(kJob, fixture.MakeJob({step}));
    CHECK(fixture.Plan().size() == 4);
  }
}

TEST_CASE("an occurrence does not start before its time") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  JobSpec job = fixture.MakeJob({fixture.MakeStep(1, 1'000)});
  job.repeats = 2;
  job.first_start_ms = fixture.wall_ms + 1'000;
  job.interval_ms = 500;
  fixture.Accept(kJob, job);
  CHECK(fixture.Plan().empty());
  fixture.wall_ms += 1'000;
  REQUIRE(fixture.Plan().size() == 1);
  fixture.wall_ms += 500;
  const std::vector<RunCommand> second = fixture.Plan();
  REQUIRE(second.size() == 1);
  CHECK(second[0].task.occurrence == 1);
}

TEST_CASE("draining and unlisted VMs get no new runs") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  SECTION("draining") {
    VmListing listing = fixture.listings[0];
    listing.draining = true;
    fixture.scheduler.UpsertVm(listing, fixture.now);
  }
  SECTION("unlisted") { fixture.scheduler.UnlistVm("vm"); }
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  CHECK(fixture.Plan().empty());
}

TEST_CASE("a run that makes no progress is moved to another VM") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.AddVm("other");
  fixture.Report("vm", {MakeRunning(kTask, 1)});
  fixture.now = fixture.now + fixture.settings.stall_timeout + Millis(100);
  fixture.Report("vm", {MakeRunning(kTask, 1)});
  const std::vector<RunCommand> stops = fixture.PlanAndConfirm();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].kind == RunCommandKind::kStop);
  fixture.Report("vm", {}, {fixture.MakeEnd(1, kTask, 1, RunEnd::kStopped)});
  const std::vector<RunCommand> starts = fixture.Plan();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == "other");
}
