// What a new owner of a cell does before it knows all runs of its predecessors.
#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static const TaskRef kTask{kJob, 0, 0, 0};
static constexpr int kFirstRunOfSuccessor = 17;
static constexpr Millis kTick(100);
/// The users' bound for a long-running task without a run while there is
/// capacity for it.
static constexpr Millis kMaxTimeWithoutRun(3'000);

static int CountStarts(const std::vector<RunCommand>& commands) {
  return static_cast<int>(
      std::count_if(commands.begin(), commands.end(), [](const auto& command) {
        return command.kind == RunCommandKind::kStart;
      }));
}

static VmReport EmptyReport(Millis now) {
  VmReport report;
  report.clock_ms = now.count;
  return report;
}

static VmListing MakeListing(const std::string& id) {
  VmListing listing;
  listing.id = id;
  listing.address = id + ":1";
  listing.service = "workers";
  listing.capacity = {16'000, 64'000, 0};
  return listing;
}

/// Returns a successor whose list of VMs has only "known" so far, which has
/// reported that nothing runs there.
static std::unique_ptr<Scheduler> TakeOverKnowingOneVm(
    SchedulerFixture& fixture) {
  fixture.listings.clear();
  fixture.listings.push_back(MakeListing("known"));
  std::unique_ptr<Scheduler> successor = fixture.TakeOver(kFirstRunOfSuccessor);
  successor->OnReport("known", EmptyReport(fixture.now), fixture.now,
                      fixture.now);
  fixture.now = fixture.now + kTick;
  successor->OnDurable(successor->TakeBatch(fixture.wall_ms));
  successor->OnReport("known", EmptyReport(fixture.now), fixture.now,
                      fixture.now);
  return successor;
}

TEST_CASE(
    "a task is not started again while it runs on a VM that only the "
    "predecessor knew") {
  SchedulerFixture fixture;
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.scheduler.UpsertVm(MakeListing("new"), fixture.now);
  fixture.Report("new", {});
  // The predecessor ends before the journal holds anything of the plan.
  const int started = CountStarts(fixture.Plan());
  const std::unique_ptr<Scheduler> successor = TakeOverKnowingOneVm(fixture);
  const int started_again =
      CountStarts(successor->Plan(fixture.wall_ms, fixture.now));
  CHECK(started + started_again <= 1);
}

TEST_CASE(
    "a newly listed VM that never answers does not keep older jobs from "
    "starting") {
  SchedulerFixture fixture;
  fixture.AddVm("known");
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  const std::unique_ptr<Scheduler> successor = TakeOverKnowingOneVm(fixture);
  successor->UpsertVm(MakeListing("silent"), fixture.now);
  const Millis listed_at = fixture.now;
  int started = 0;
  while (started == 0 && fixture.now - listed_at <= kMaxTimeWithoutRun) {
    fixture.now = fixture.now + kTick;
    successor->OnReport("known", EmptyReport(fixture.now), fixture.now,
                        fixture.now);
    started = CountStarts(successor->Plan(fixture.wall_ms, fixture.now));
  }
  CHECK(started == 1);
}

/// While a VM stops a run, the run is in none of the VM's lists. If it is in no
/// journal either, a successor can't know of it.
TEST_CASE("a run that is being stopped is known to a successor") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 1);
  // The predecessor ends before the journal holds anything of the plan.
  fixture.scheduler.Cancel(kJob, fixture.wall_ms);
  const auto being_stopped = static_cast<int>(fixture.Plan().size());
  const std::unique_ptr<Scheduler> successor =
      fixture.TakeOver(kFirstRunOfSuccessor);
  successor->OnReport("vm", EmptyReport(fixture.now), fixture.now, fixture.now);
  const int started_again =
      CountStarts(successor->Plan(fixture.wall_ms, fixture.now));
  CHECK(being_stopped + started_again <= 1);
}

TEST_CASE("a cancelled run is stopped once the journal holds it") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 1);
  fixture.scheduler.Cancel(kJob, fixture.wall_ms);
  fixture.Flush();
  const std::vector<RunCommand> commands = fixture.Plan();
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].kind == RunCommandKind::kStop);
}

/// The platform's list changes while the successor still reads the journal.
TEST_CASE("a change of the VM list during a take-over voids no run end") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("leaving");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const std::vector<RunCommand> started = fixture.PlanAndConfirm();
  REQUIRE(CountStarts(started) == 1);
  fixture.Flush();
  const std::string used = started[0].vm;
  const std::string other = used == "vm" ? "leaving" : "vm";
  const std::unique_ptr<Scheduler> successor = fixture.TakeOver(
      kFirstRunOfSuccessor,
      [&](Scheduler& scheduler) { scheduler.UnlistVm(other); });
  VmReport report = EmptyReport(fixture.now);
  report.ended = {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone)};
  successor->OnReport(used, report, fixture.now, fixture.now);
  successor->OnReport(other, EmptyReport(fixture.now), fixture.now,
                      fixture.now);
  CHECK(CountStarts(successor->Plan(fixture.wall_ms, fixture.now)) == 0);
  successor->OnDurable(successor->TakeBatch(fixture.wall_ms));
  CHECK(successor->VisibleStateOf(kJob) == VisibleJobState::kDone);
}

TEST_CASE("a VM that leaves the list during a take-over is still awaited") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("leaving");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const std::unique_ptr<Scheduler> successor = fixture.TakeOver(
      kFirstRunOfSuccessor,
      [&](Scheduler& scheduler) { scheduler.UnlistVm("leaving"); });
  successor->OnReport("vm", EmptyReport(fixture.now), fixture.now, fixture.now);
  CHECK(CountStarts(successor->Plan(fixture.wall_ms, fixture.now)) == 0);
  for (const JournalEntry& entry :
       successor->TakeBatch(fixture.wall_ms).entries) {
    CHECK(entry.key != "vleaving");
  }
}

/// The first owner starts run 1 on "a", which is recorded, and run 2 on "b",
/// which is not. The second owner finds run 2 and records both. The run ends
/// under the third.
TEST_CASE("the end of a run counts beside an older run of the task") {
  SchedulerFixture fixture;
  fixture.AddVm("a");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 1);
  fixture.Flush();
  fixture.AddVm("b");

  const std::unique_ptr<Scheduler> second =
      fixture.TakeOver(kFirstRunOfSuccessor);
  VmReport with_run = EmptyReport(fixture.now);
  with_run.running = {{kTask, 2, "", 50, 0}};
  second->OnReport("b", with_run, fixture.now, fixture.now);
  fixture.Write(second->TakeBatch(fixture.wall_ms));

  const std::unique_ptr<Scheduler> third =
      fixture.TakeOver(2 * kFirstRunOfSuccessor);
  VmReport with_end = EmptyReport(fixture.now);
  with_end.ended = {fixture.MakeEnd(1, kTask, 2, RunEnd::kDone)};
  third->OnReport("b", with_end, fixture.now, fixture.now);
  fixture.now = fixture.now + Millis(2'000);
  third->OnReport("a", EmptyReport(fixture.now), fixture.now, fixture.now);
  fixture.now = fixture.now + Millis(2'000);
  third->OnReport("a", EmptyReport(fixture.now), fixture.now, fixture.now);
  third->OnReport("b", EmptyReport(fixture.now), fixture.now, fixture.now);
  CHECK(CountStarts(third->Plan(fixture.wall_ms, fixture.now)) == 0);
  third->OnDurable(third->TakeBatch(fixture.wall_ms));
  CHECK(third->VisibleStateOf(kJob) == VisibleJobState::kDone);
}

/// The VM leaves the list and comes back while the append that lists it in the
/// journal has no answer. Its record is then deleted and has to be written
/// again.
TEST_CASE("a VM that is listed again is used once its new record is durable") {
  SchedulerFixture fixture;
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  fixture.scheduler.UpsertVm(MakeListing("new"), fixture.now);
  fixture.Report("new", {});
  const JournalBatch pending = fixture.scheduler.TakeBatch(fixture.wall_ms);
  fixture.scheduler.UnlistVm("new");
  fixture.scheduler.OnVmUnreachable("new", VmOutage::kSilent, fixture.now);
  fixture.now = fixture.now + fixture.settings.lease_duration * 2;
  fixture.Plan();
  fixture.scheduler.UpsertVm(MakeListing("new"), fixture.now);
  fixture.Report("new", {});
  fixture.Write(pending);
  fixture.scheduler.OnDurable(pending);
  CHECK(CountStarts(fixture.Plan()) == 0);
  fixture.Flush();
  CHECK(fixture.journal.contains("vnew"));
  CHECK(CountStarts(fixture.Plan()) == 1);
}

TEST_CASE("the record of a VM that has been removed is not written again") {
  SchedulerFixture fixture;
  fixture.scheduler.UpsertVm(MakeListing("vm"), fixture.now);
  fixture.Report("vm", {});
  fixture.scheduler.UnlistVm("vm");
  fixture.scheduler.OnVmUnreachable("vm", VmOutage::kSilent, fixture.now);
  fixture.now = fixture.now + fixture.settings.lease_duration * 2;
  fixture.Plan();
  fixture.Flush();
  CHECK(!fixture.journal.contains("vvm"));
}
/// Two runs of a task are under way when one of them ends as done.
TEST_CASE("a run of a finished task is charged after a change of owner") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(2, 8'000);
  step.gang = true;
  fixture.Accept(kJob, fixture.MakeJob({step, fixture.MakeStep(1, 1'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 2);
  // One member's end stands for all of them; the other member still runs.
  const TaskRef other{kJob, 0, 0, 1};
  fixture.Report("vm", {{other, 1, "", 99, 0}},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  fixture.Flush();
  const std::unique_ptr<Scheduler> successor =
      fixture.TakeOver(kFirstRunOfSuccessor);
  VmReport report = EmptyReport(fixture.now);
  successor->OnReport("vm", report, fixture.now, fixture.now);
  CHECK(successor->Summary(fixture.now).free_cpu_millis <= 8'000);
}
/// The successor knows the VM from the journal only, without its capacity, when
/// it finds a run there that belongs to no task.
TEST_CASE("no run is placed beside one that belongs to no task") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 8'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 1);
  fixture.Flush();
  const VmListing listing = fixture.listings[0];
  fixture.listings.clear();
  const std::unique_ptr<Scheduler> successor =
      fixture.TakeOver(kFirstRunOfSuccessor);
  VmReport report = EmptyReport(fixture.now);
  report.running = {{kTask, 1, "", 10, 0}, {{"unknown", 0, 0, 0}, 1, "", 0, 0}};
  successor->OnReport("vm", report, fixture.now, fixture.now);
  successor->UpsertVm(listing, fixture.now);
  successor->OnReport("vm", report, fixture.now, fixture.now);
  const std::string other(16, 'b');
  successor->Submit(other, fixture.queue,
                    fixture.MakeJob({fixture.MakeStep(1, 4'000)}),
                    fixture.wall_ms, fixture.now);
  successor->OnDurable(successor->TakeBatch(fixture.wall_ms));
  CHECK(CountStarts(successor->Plan(fixture.wall_ms, fixture.now)) == 0);
}

TEST_CASE("a job whose last end arrives before the first plan is kept") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  const std::vector<RunCommand> commands = fixture.PlanAndConfirm();
  REQUIRE(commands.size() == 1);
  fixture.Flush();
  const std::unique_ptr<Scheduler> next = fixture.TakeOver(10'001);
  VmReport report;
  report.clock_ms = fixture.now.count;
  report.ended = {fixture.MakeEnd(1, commands[0].task, 1, RunEnd::kDone)};
  next->OnReport("vm", report, fixture.now, fixture.now);
  for (int batch = 0; batch < 2; ++batch)
    next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->VisibleStateOf(kJob) == VisibleJobState::kDone);
}
