#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kLasting(16, 'a');
static const TaskRef kTask{kLasting, 0, 0, 0};

static std::string ShortId(int number) {
  return "b" + std::string(13, '0') + std::to_string(10 + number);
}

static JobSpec MakeLasting(std::int64_t cpu_millis) {
  StepSpec step = SchedulerFixture::MakeStep(1, cpu_millis);
  step.long_running = true;
  return SchedulerFixture::MakeJob({step});
}

static std::vector<Order> OfKind(const std::vector<Order>& orders,
                                 OrderKind kind) {
  std::vector<Order> found;
  std::copy_if(orders.begin(), orders.end(), std::back_inserter(found),
               [&](const Order& order) { return order.kind == kind; });
  return found;
}

/// Short tasks of a quarter of a VM take each quarter as soon as it is free;
/// a long-running task needs half a VM.
TEST_CASE("short tasks do not keep a long-running one waiting for ever") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  std::vector<Order> running;
  int jobs = 0;
  const auto submit = [&] {
    fixture.Accept(ShortId(jobs++),
                   fixture.MakeJob({fixture.MakeStep(1, 4'000)}));
  };
  for (int i = 0; i < 6; ++i) submit();
  running = fixture.PlanAndConfirm();
  REQUIRE(running.size() == 4);
  fixture.Accept(kLasting, MakeLasting(8'000));
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
    for (const Order& order : fixture.PlanAndConfirm()) {
      running.push_back(order);
      started = started || order.task.job == kLasting;
    }
  }
}

TEST_CASE(
    "a long-running task leaves a VM that drains, once there is a place") {
  SchedulerFixture fixture;
  fixture.AddVm("leaving");
  fixture.Accept(kLasting, MakeLasting(6'000));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  const RunningRunReport row{kTask, 1, "", 100, 0};
  fixture.Report("leaving", {row});
  VmListing leaving = fixture.listings[0];
  leaving.draining = true;
  fixture.scheduler.ListVm(leaving, fixture.now);
  fixture.now = fixture.now + Millis(200);
  CHECK(fixture.Plan().empty());
  fixture.AddVm("other");
  fixture.now = fixture.now + Millis(200);
  const std::vector<Order> stops =
      OfKind(fixture.PlanAndConfirm(), OrderKind::kStop);
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].vm == "leaving");
  // It starts elsewhere only once its end is known.
  fixture.now = fixture.now + Millis(200);
  CHECK(OfKind(fixture.Plan(), OrderKind::kStart).empty());
  fixture.Report("leaving", {},
                 {fixture.MakeEnd(1, kTask, 1, RunEnd::kStopped)});
  const std::vector<Order> starts = OfKind(fixture.Plan(), OrderKind::kStart);
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].vm == "other");
  CHECK(starts[0].run == 2);
}

TEST_CASE("short tasks stay on a VM that drains") {
  SchedulerFixture fixture;
  fixture.AddVm("leaving");
  fixture.Accept(kLasting, fixture.MakeJob({fixture.MakeStep(1, 6'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Report("leaving", {{kTask, 1, "", 50, 0}});
  VmListing leaving = fixture.listings[0];
  leaving.draining = true;
  fixture.scheduler.ListVm(leaving, fixture.now);
  fixture.AddVm("other");
  fixture.now = fixture.now + Millis(200);
  CHECK(fixture.Plan().empty());
}

/// Two tasks leave, and only one other VM has room, for one of them.
TEST_CASE("no task is stopped for a place that another is moving to") {
  SchedulerFixture fixture;
  fixture.AddVm("leaving");
  StepSpec step = SchedulerFixture::MakeStep(2, 6'000);
  step.long_running = true;
  fixture.Accept(kLasting, fixture.MakeJob({step}));
  REQUIRE(fixture.PlanAndConfirm().size() == 2);
  fixture.Report("leaving", {{kTask, 1, "", 100, 0},
                             {{kLasting, 0, 0, 1}, 1, "", 100, 0}});
  VmListing other = fixture.listings[0];
  VmListing leaving = other;
  leaving.draining = true;
  fixture.scheduler.ListVm(leaving, fixture.now);
  other.id = "other";
  other.capacity.cpu_millis = 8'000;
  fixture.scheduler.ListVm(other, fixture.now);
  fixture.Report("other", {});
  int stops = 0;
  for (int i = 0; i < 5; ++i) {
    fixture.now = fixture.now + Millis(150);
    stops += static_cast<int>(
        OfKind(fixture.PlanAndConfirm(), OrderKind::kStop).size());
  }
  CHECK(stops == 1);
}

/// A VM of 16 cores has 6 free and short tasks on the rest; one long-running
/// task waits for 12 cores of it, and a smaller one comes after.
TEST_CASE("room that is kept for a large task is open to one that fits now") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(ShortId(0), fixture.MakeJob({fixture.MakeStep(1, 10'000)}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  fixture.Accept(kLasting, MakeLasting(12'000));
  CHECK(fixture.Plan().empty());
  const std::string smaller(16, 'c');
  fixture.Accept(smaller, MakeLasting(5'000));
  fixture.now = fixture.now + Millis(100);
  const std::vector<Order> orders = fixture.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task.job == smaller);
}

TEST_CASE("best-effort runs leave the memory that a reserved task waits for") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  StepSpec large = SchedulerFixture::MakeStep(1, 10'000);
  large.need.memory_mib = 40'000;
  fixture.Accept(ShortId(0), fixture.MakeJob({large}));
  REQUIRE(fixture.PlanAndConfirm().size() == 1);
  StepSpec lasting = large;
  lasting.long_running = true;
  fixture.Accept(kLasting, fixture.MakeJob({lasting}));
  CHECK(fixture.Plan().empty());
  StepSpec best_effort = SchedulerFixture::MakeStep(4, 1'000);
  best_effort.best_effort = true;
  best_effort.need.memory_mib = 20'000;
  fixture.Accept(ShortId(1), fixture.MakeJob({best_effort}));
  fixture.now = fixture.now + Millis(100);
  CHECK(fixture.Plan().empty());
}
