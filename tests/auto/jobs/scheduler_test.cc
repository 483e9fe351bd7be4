#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kJob[] = "00000000000000aa";
static const TaskRef kTask{kJob, 0, 0, 0};

static std::vector<Order> OfKind(const std::vector<Order>& orders,
                                 OrderKind kind) {
  std::vector<Order> found;
  std::copy_if(orders.begin(), orders.end(), std::back_inserter(found),
               [kind](const Order& order) { return order.kind == kind; });
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
    "a job starts once it is durable, and is shown as done once that is") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.scheduler.Submit(kJob, fixture.queue,
                           fixture.MakeJob({fixture.MakeStep(1, 1'000)}),
                           fixture.wall_ms, fixture.now);
  CHECK(fixture.Plan().empty());
  CHECK(!fixture.scheduler.IsAccepted(kJob));
  fixture.Flush();
  CHECK(fixture.scheduler.Shown(kJob) == ShownState::kQueued);
  CHECK(fixture.scheduler.Pending("reports") == 1);
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  CHECK(fixture.scheduler.Pending("reports") == 0);
  fixture.Report("vm", {}, {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  CHECK(fixture.scheduler.Shown(kJob) == ShownState::kRunning);
  CHECK(fixture.scheduler.AcknowledgedEnd("vm") == 0);
  fixture.Flush();
  CHECK(fixture.scheduler.Shown(kJob) == ShownState::kDone);
  CHECK(fixture.scheduler.AcknowledgedEnd("vm") == 1);
}

TEST_CASE("a step waits for all tasks of the steps it comes after") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec second = fixture.MakeStep(1, 1'000);
  second.after = {0};
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 1'000), second}));
  CHECK(fixture.PlanAndConfirm().size() == 2);
  fixture.Report("vm", {MakeRunning({kJob, 0, 0, 1}, 1)},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone)});
  CHECK(fixture.PlanAndConfirm().empty());
  fixture.Report("vm", {},
                 {fixture.MakeEnd(2, {kJob, 0, 0, 1}, 1, RunEnd::kDone)});
  const std::vector<Order> orders = fixture.PlanAndConfirm();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task.step == 1);
}

TEST_CASE("no VM gets more than its room, and what is stopped still counts") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(5, 6'000)}));
  CHECK(fixture.PlanAndConfirm().size() == 2);
  fixture.scheduler.Cancel(kJob, fixture.wall_ms);
  fixture.Accept("00000000000000bb",
                 fixture.MakeJob({fixture.MakeStep(1, 6'000)}));
  const std::vector<Order> orders = fixture.PlanAndConfirm();
  CHECK(OfKind(orders, OrderKind::kStop).size() == 2);
  CHECK(OfKind(orders, OrderKind::kStart).empty());
  // Runs that are being stopped are on neither list for a while.
  fixture.now = fixture.now + Millis(300);
  fixture.Report("vm", {});
  CHECK(OfKind(fixture.Plan(), OrderKind::kStart).empty());
  fixture.Report("vm", {},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kStopped),
                  fixture.MakeEnd(2, {kJob, 0, 0, 1}, 1, RunEnd::kStopped)});
  CHECK(OfKind(fixture.Plan(), OrderKind::kStart).size() == 1);
}

TEST_CASE("a start without an answer is not given up by a later refusal") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.AddVm("other");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 12'000)}));
  const std::vector<Order> first = fixture.Plan();
  REQUIRE(first.size() == 1);
  fixture.Answer(first[0], OrderOutcome::kUnknown);
  for (int i = 0; i < 20; ++i) {
    fixture.now = fixture.now + Millis(100);
    for (const Order& order : fixture.Plan()) {
      // Neither at another VM, nor under another number.
      CHECK(order.vm == first[0].vm);
      CHECK(order.run == 1);
      fixture.Answer(order, OrderOutcome::kRefused);
    }
  }
}

TEST_CASE("runs of a silent VM start elsewhere after their lease, not before") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.AddVm("other");
  const Millis silent = fixture.now;
  fixture.scheduler.OnSilent("vm", fixture.now);
  while (fixture.now - silent < fixture.settings.lease) {
    // Trying on must not put the lease's end off.
    CHECK(fixture.scheduler.NextDeadline("vm", fixture.now) == 0);
    CHECK(OfKind(fixture.Plan(), OrderKind::kStart).empty());
    fixture.now = fixture.now + Millis(100);
    fixture.Report("other", {});
  }
  fixture.now = fixture.now + Millis(500);
  fixture.Report("other", {});
  const std::vector<Order> orders = fixture.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].vm == "other");
  CHECK(orders[0].run == 2);
}

TEST_CASE("a job fails after its attempts, and its other runs are stopped") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  const RunningRunReport other = MakeRunning({kJob, 0, 0, 1}, 1);
  fixture.Report("vm", {other},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kFailed)});
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Report("vm", {other},
                 {fixture.MakeEnd(2, kTask, 2, RunEnd::kFailed)});
  const std::vector<Order> orders = fixture.PlanAndConfirm();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].kind == OrderKind::kStop);
  fixture.Flush();
  CHECK(fixture.scheduler.Shown(kJob) == ShownState::kFailed);
}

TEST_CASE("a long-running task starts again however often it fails") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(1, 1'000);
  step.long_running = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  for (int run = 1; run < 6; ++run) {
    const std::vector<Order> orders = fixture.PlanAndConfirm();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].run == run);
    fixture.Report("vm", {},
                   {fixture.MakeEnd(run, kTask, run, RunEnd::kFailed)});
    fixture.now = fixture.now + fixture.settings.quarantine;
    fixture.Report("vm", {});
  }
}

TEST_CASE("a new owner finds what runs, and starts nothing twice") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  // The owner dies before the start is in the journal.
  const auto next = fixture.TakeOver(17);
  CHECK(next->Plan(fixture.wall_ms, fixture.now).empty());
  VmReport report;
  report.clock_ms = fixture.now.count;
  report.running = {MakeRunning(kTask, 1)};
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  CHECK(next->Plan(fixture.wall_ms, fixture.now + Millis(5)).empty());
}

TEST_CASE("ends that no record names count in whatever order they come") {
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
  // Two attempts have failed; a third would be one too many.
  CHECK(OfKind(next->Plan(fixture.wall_ms, fixture.now), OrderKind::kStart)
            .empty());
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->Shown(kJob) == ShownState::kFailed);
}

TEST_CASE("an end that the journal covers is not counted again") {
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
  const std::vector<Order> orders =
      next->Plan(fixture.wall_ms, fixture.now + Millis(500));
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].kind == OrderKind::kStart);
  CHECK(orders[0].run == 17);
}

TEST_CASE("a new owner waits for runs that the old one was stopping") {
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
    return OfKind(next->Plan(fixture.wall_ms, fixture.now), OrderKind::kStart)
        .size();
  };
  CHECK(starts() == 0);
  fixture.now = fixture.now + Millis(1'500);
  report.clock_ms = fixture.now.count;
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  CHECK(starts() == 1);
}

TEST_CASE("a VM that has answered a stop, but no renewal, keeps its runs") {
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
  const std::vector<Order> stops = next->Plan(fixture.wall_ms, fixture.now);
  REQUIRE(stops.size() == 1);
  next->OnOrderOutcome(stops[0], OrderOutcome::kDone, fixture.now.count,
                       fixture.now, fixture.now + Millis(5));
  CHECK(OfKind(next->Plan(fixture.wall_ms, fixture.now + Millis(10)),
               OrderKind::kStart)
            .empty());
}

TEST_CASE(
    "an end that came after a lapse counts, one from before it does not") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  const TaskRef second{kJob, 0, 0, 1};
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.Report("vm", {},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kDone),
                  fixture.MakeEnd(2, {"gone", 0, 0, 0}, 1, RunEnd::kLapsed),
                  fixture.MakeEnd(3, second, 1, RunEnd::kDone)});
  const std::vector<Order> orders = fixture.PlanAndConfirm();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == kTask);
}

TEST_CASE("a new owner judges attempts by the job's record") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Flush();
  fixture.queue.name = "another";  // The queue has been removed meanwhile.
  const auto next = fixture.TakeOver(17);
  VmReport report;
  report.clock_ms = fixture.now.count;
  report.ended = {fixture.MakeEnd(1, kTask, 1, RunEnd::kFailed)};
  next->OnReport("vm", report, fixture.now, fixture.now + Millis(5));
  next->OnDurable(next->TakeBatch(fixture.wall_ms));
  CHECK(next->Shown(kJob) == ShownState::kRunning);
}

TEST_CASE("a gang starts whole, with one number, or not at all") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec step = fixture.MakeStep(3, 8'000);
  step.gang = true;
  fixture.Accept(kJob, fixture.MakeJob({step}));
  CHECK(fixture.Plan().empty());
  fixture.AddVm("other");
  const std::vector<Order> orders = fixture.PlanAndConfirm();
  REQUIRE(orders.size() == 3);
  for (const Order& order : orders) CHECK(order.run == 1);
  fixture.Report(orders[0].vm, {},
                 {fixture.MakeEnd(1, orders[0].task, 1, RunEnd::kDone)});
  fixture.Flush();
  CHECK(fixture.scheduler.Shown(kJob) == ShownState::kDone);
}

TEST_CASE("labels, racks of data and tasks for each VM are kept to") {
  SchedulerFixture fixture;
  fixture.AddVm("vm1", "r1");
  fixture.AddVm("vm2", "r2");
  SECTION("a required label") {
    StepSpec step = fixture.MakeStep(4, 1'000);
    step.required_label = "r2";
    fixture.Accept(kJob, fixture.MakeJob({step}));
    for (const Order& order : fixture.Plan()) CHECK(order.vm == "vm2");
  }
  SECTION("the data's rack is preferred") {
    StepSpec step = fixture.MakeStep(2, 1'000);
    step.data_rack = "r2";
    fixture.Accept(kJob, fixture.MakeJob({step}));
    for (const Order& order : fixture.Plan()) CHECK(order.vm == "vm2");
  }
  SECTION("at most so many on a VM") {
    StepSpec step = fixture.MakeStep(5, 100);
    step.max_per_vm = 2;
    fixture.Accept(kJob, fixture.MakeJob({step}));
    CHECK(fixture.Plan().size() == 4);
  }
}

TEST_CASE("an occurrence starts at its time, not before") {
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
  const std::vector<Order> second = fixture.Plan();
  REQUIRE(second.size() == 1);
  CHECK(second[0].task.occurrence == 1);
}

TEST_CASE("a draining VM and one that has left the list get nothing new") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  SECTION("draining") {
    VmListing listing = fixture.listings[0];
    listing.draining = true;
    fixture.scheduler.ListVm(listing, fixture.now);
  }
  SECTION("unlisted") { fixture.scheduler.UnlistVm("vm", fixture.now); }
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
  fixture.now = fixture.now + fixture.settings.stall + Millis(100);
  fixture.Report("vm", {MakeRunning(kTask, 1)});
  const std::vector<Order> stops = fixture.PlanAndConfirm();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].kind == OrderKind::kStop);
  fixture.Report("vm", {}, {fixture.MakeEnd(1, kTask, 1, RunEnd::kStopped)});
  const std::vector<Order> starts = fixture.Plan();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == "other");
}
