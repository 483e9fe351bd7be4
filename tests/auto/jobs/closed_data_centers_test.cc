#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kClosed[] = "moss";
static constexpr char kOpen[] = "hamar";
static const std::string kJob(16, 'a');
static const TaskRef kTask{kJob, 0, 0, 0};

namespace {

/// VMs in two data centers, of which operators close one.
struct ClosuresFixture : SchedulerFixture {
  void AddVmIn(const std::string& data_center, const std::string& id) {
    AddVm(id, "rack of " + data_center);
    listings.back().data_center = data_center;
    scheduler.UpsertVm(listings.back(), now);
  }
  void Close() {
    closures.Close(kClosed, ++offset);
    scheduler.ApplyClosures(closures);
  }
  void Reopen() {
    closures.Open(kClosed, ++offset, now);
    scheduler.ApplyClosures(closures);
  }
  /// Lets the interval of checks for retries pass.
  std::vector<RunCommand> PlanLater(Millis later = Millis(500)) {
    now = now + later;
    return Plan();
  }

  DataCenterClosures closures;
  std::int64_t offset = 0;
};

}  // namespace

static std::vector<RunCommand> OfKind(const std::vector<RunCommand>& commands,
                                      RunCommandKind kind) {
  std::vector<RunCommand> found;
  std::copy_if(commands.begin(), commands.end(), std::back_inserter(found),
               [&](const RunCommand& command) { return command.kind == kind; });
  return found;
}

static bool HasStart(const std::vector<RunCommand>& commands) {
  return !OfKind(commands, RunCommandKind::kStart).empty();
}

static JobSpec MakeJobOf(StepSpec step) {
  return SchedulerFixture::MakeJob({std::move(step)});
}

TEST_CASE("no plan starts a task in a closed data center") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.Close();
  StepSpec step = fixture.MakeStep(2, 1'000);
  SECTION("a short task") {}
  SECTION("a long-running task") { step.long_running = true; }
  SECTION("a best-effort task") { step.best_effort = true; }
  SECTION("a gang") { step.gang = true; }
  fixture.Accept(kJob, MakeJobOf(step));
  // Long enough for relief runs and reservations, too.
  for (int i = 0; i < 40; ++i) {
    fixture.Report("vm", {});
    CHECK(!HasStart(fixture.PlanLater()));
  }
  fixture.AddVmIn(kOpen, "other");
  const auto starts = OfKind(fixture.PlanLater(), RunCommandKind::kStart);
  REQUIRE(!starts.empty());
  for (const RunCommand& start : starts) CHECK(start.vm == "other");
}

TEST_CASE("a start that is planned before the closure is not sent after it") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.Accept(kJob, MakeJobOf(fixture.MakeStep(1, 1'000)));
  const auto starts = OfKind(fixture.Plan(), RunCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(fixture.scheduler.MaySendStart("vm"));
  fixture.Close();
  REQUIRE(!fixture.scheduler.MaySendStart("vm"));
  fixture.Answer(starts[0], RunCommandOutcome::kNotSent);
  // The task waits, and is not blamed on the VM.
  fixture.AddVmIn(kOpen, "other");
  const auto again = OfKind(fixture.PlanLater(), RunCommandKind::kStart);
  REQUIRE(again.size() == 1);
  CHECK(again[0].vm == "other");
  CHECK(again[0].run > starts[0].run);
}

TEST_CASE("the retry of an unanswered start becomes a stop") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.Accept(kJob, MakeJobOf(fixture.MakeStep(1, 1'000)));
  const auto starts = OfKind(fixture.Plan(), RunCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  fixture.Flush();
  fixture.Answer(starts[0], RunCommandOutcome::kUnknown);
  fixture.Close();
  const auto commands = fixture.PlanLater();
  CHECK(!HasStart(commands));
  const auto stops = OfKind(commands, RunCommandKind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].run == starts[0].run);
}

TEST_CASE("a run that executes in a closed data center stays there") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.AddVmIn(kOpen, "other");
  StepSpec step = fixture.MakeStep(2, 12'000);
  step.long_running = true;
  fixture.Accept(kJob, MakeJobOf(step));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.Flush();
  fixture.Close();
  fixture.AddVmIn(kOpen, "third");
  for (int i = 0; i < 20; ++i) CHECK(fixture.PlanLater(Millis(100)).empty());
}

/// The task would keep its reservation for good, and short tasks would take the
/// other VM each time that it is free.
TEST_CASE("a long-running task drops its reservation in a closed data center") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.Accept("filler1", MakeJobOf(fixture.MakeStep(1, 7'000)));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.AddVmIn(kOpen, "other");
  fixture.Accept("filler2", MakeJobOf(fixture.MakeStep(1, 12'000)));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  StepSpec step = fixture.MakeStep(1, 10'000);
  step.long_running = true;
  fixture.Accept(kJob, MakeJobOf(step));
  // It reserves the VM with more free processors, which is then closed.
  REQUIRE(fixture.Plan().empty());
  fixture.Close();
  REQUIRE(fixture.Plan().empty());
  fixture.Accept("short", MakeJobOf(fixture.MakeStep(1, 1'000)));
  CHECK(fixture.Plan().empty());
  fixture.Report("other", {},
                 {fixture.MakeEnd(1, {"filler2", 0, 0, 0}, 1, RunEnd::kDone)});
  const auto starts = OfKind(fixture.Plan(), RunCommandKind::kStart);
  REQUIRE(!starts.empty());
  CHECK(starts[0].task == kTask);
  CHECK(starts[0].vm == "other");
}

TEST_CASE("after the reopening other VMs are preferred for a while") {
  ClosuresFixture fixture;
  // By their names the closed VM would be chosen.
  fixture.AddVmIn(kClosed, "a");
  fixture.AddVmIn(kOpen, "b");
  fixture.Close();
  fixture.Reopen();
  const bool while_reopening = GENERATE(true, false);
  if (!while_reopening) fixture.now = fixture.now + Millis(3'000);
  fixture.Report("a", {});
  fixture.Report("b", {});
  fixture.Accept(kJob, MakeJobOf(fixture.MakeStep(1, 1'000)));
  const auto starts = OfKind(fixture.Plan(), RunCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == (while_reopening ? "b" : "a"));
}

TEST_CASE("a reopened data center gets best-effort runs only gradually") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.Close();
  fixture.Reopen();
  StepSpec step = fixture.MakeStep(16, 1'000);
  step.best_effort = true;
  fixture.Accept(kJob, MakeJobOf(step));
  std::size_t started = OfKind(fixture.Plan(), RunCommandKind::kStart).size();
  CHECK(started == 0);
  started +=
      OfKind(fixture.PlanLater(Millis(1'400)), RunCommandKind::kStart).size();
  CHECK(started > 0);
  CHECK(started <= 8);
  started +=
      OfKind(fixture.PlanLater(Millis(1'600)), RunCommandKind::kStart).size();
  CHECK(started == 16);
}

TEST_CASE("a successor starts nothing in a closed data center") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.Accept(kJob, MakeJobOf(fixture.MakeStep(1, 1'000)));
  fixture.Close();
  const auto next = fixture.TakeOver(10'001);
  next->MarkJournalComplete();
  next->ApplyClosures(fixture.closures);
  VmReport report;
  report.clock_ms = 60'000;
  report.worker_start_ms = 1'600'000'000'000;
  for (int i = 0; i < 30; ++i) {
    const Millis sent = fixture.now;
    fixture.now = fixture.now + Millis(500);
    report.clock_ms += 500;
    next->NextDeadline("vm", sent);
    next->OnReport("vm", report, sent, sent + Millis(10));
    next->OnDurable(next->TakeBatch(fixture.wall_ms));
    CHECK(!HasStart(next->Plan(fixture.wall_ms, fixture.now)));
  }
  // Without the closure it would.
  next->ApplyClosures({});
  CHECK(HasStart(next->Plan(fixture.wall_ms, fixture.now)));
}

TEST_CASE("a host starts no delegated task in a closed data center") {
  ClosuresFixture host;
  host.AddVmIn(kClosed, "vm");
  host.Close();
  Delegation delegation;
  delegation.job = kJob;
  StepSpec step = host.MakeStep(1, 1'000);
  step.long_running = true;
  delegation.record.spec = MakeJobOf(step);
  delegation.record.service = host.queue.service;
  delegation.record.queue = host.queue.name;
  delegation.record.home_cell = 1;
  delegation.tasks.emplace_back().number = 1;
  for (int i = 0; i < 10; ++i) {
    const DelegationReport report =
        host.scheduler.Host(delegation, host.wall_ms, host.now);
    REQUIRE(report.tasks.size() == 1);
    const DelegationState state = report.tasks[0].state;
    const bool has_no_run = state == DelegationState::kWaiting ||
                            state == DelegationState::kReturning ||
                            state == DelegationState::kReturned;
    CHECK(has_no_run);
    host.Flush();
    CHECK(!HasStart(host.PlanLater()));
  }
  // The host will have no VM for it, so that the home cell can look elsewhere.
  DelegationReport report =
      host.scheduler.Host(delegation, host.wall_ms, host.now);
  CHECK(report.tasks[0].state == DelegationState::kReturned);
  host.AddVmIn(kOpen, "other");
  CHECK(!HasStart(host.PlanLater()));
  ++delegation.tasks[0].number;
  host.scheduler.Host(delegation, host.wall_ms, host.now);
  host.Flush();
  const auto starts = OfKind(host.PlanLater(), RunCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == "other");
}

TEST_CASE("the published load counts only VMs that accept work") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kClosed, "vm");
  fixture.AddVmIn(kOpen, "other");
  CHECK(fixture.scheduler.Summary(fixture.now).capacity_cpu_millis == 32'000);
  fixture.Close();
  CellSummary summary = fixture.scheduler.Summary(fixture.now);
  CHECK(summary.capacity_cpu_millis == 16'000);
  CHECK(summary.free_cpu_millis == 16'000);
  CHECK(summary.closed_vms == 1);
  fixture.listings[1].draining = true;
  fixture.scheduler.UpsertVm(fixture.listings[1], fixture.now);
  summary = fixture.scheduler.Summary(fixture.now);
  CHECK(summary.capacity_cpu_millis == 0);
  CHECK(summary.largest_room.cpu_millis == 0);
  CHECK(summary.closed_vms == 2);
}

TEST_CASE("while starts are held, tasks wait and no start is sent again") {
  ClosuresFixture fixture;
  fixture.AddVmIn(kOpen, "vm");
  fixture.Accept(kJob, MakeJobOf(fixture.MakeStep(1, 1'000)));
  const auto starts = OfKind(fixture.Plan(), RunCommandKind::kStart);
  REQUIRE(starts.size() == 1);
  fixture.Flush();
  fixture.Answer(starts[0], RunCommandOutcome::kUnknown);
  fixture.Accept("second", MakeJobOf(fixture.MakeStep(1, 1'000)));
  fixture.scheduler.HoldStarts(true);
  for (int i = 0; i < 10; ++i) CHECK(fixture.PlanLater().empty());
  fixture.scheduler.HoldStarts(false);
  CHECK(OfKind(fixture.PlanLater(), RunCommandKind::kStart).size() == 2);
}
