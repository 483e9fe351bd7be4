#include <algorithm>
#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr std::int64_t kFirstStartMs = 1'600'000'000'000;
/// The fixture's workers start again so much later.
static constexpr std::int64_t kSecondStartMs = kFirstStartMs + 1'000;

namespace {

/// A VM of kind "a" whose entry names the worker that it is of.
struct Lifetimes : SchedulerFixture {
  Lifetimes() {
    AddVm("vm");
    List("a", kFirstStartMs);
  }

  void List(const std::string& kind, std::int64_t worker_start_ms) {
    listings.back().kind = kind;
    listings.back().worker_start_ms = worker_start_ms;
    scheduler.UpsertVm(listings.back(), now);
  }

  void AcceptJobForKindA() {
    StepSpec step = MakeStep(1, 1'000);
    step.required_label = "a";
    Accept(kJob, MakeJob({step}));
  }

  std::int64_t CountStarts() {
    const std::vector<RunCommand> commands = PlanAndConfirm();
    return std::count_if(commands.begin(), commands.end(), [](const auto& c) {
      return c.kind == RunCommandKind::kStart;
    });
  }
};

}  // namespace

// A worker that had started again as another kind got the tasks of the former
// one, by the labels of the former one's entry.
TEST_CASE("a start by the label of a former lifetime") {
  Lifetimes cell;
  cell.AcceptJobForKindA();
  REQUIRE(cell.CountStarts() == 1);
  cell.RestartWorker("vm");
  cell.now = cell.now + Millis(100);
  cell.ReportNewWorker("vm");
  CHECK(cell.CountStarts() == 0);
  SECTION("of another kind") {
    cell.List("b", kSecondStartMs);
    CHECK(cell.CountStarts() == 0);
  }
  SECTION("of the same kind") {
    cell.List("a", kSecondStartMs);
    CHECK(cell.CountStarts() == 1);
  }
  SECTION("entry of the former worker written once more") {
    cell.List("a", kFirstStartMs);
    CHECK(cell.CountStarts() == 0);
  }
}

// Labels and room of a new lifetime were used with the clock and the lease of
// the former one.
TEST_CASE("a start on a worker that has not reported yet") {
  Lifetimes cell;
  cell.List("b", kFirstStartMs);
  cell.AcceptJobForKindA();
  cell.List("a", kSecondStartMs);
  CHECK(cell.CountStarts() == 0);
  cell.RestartWorker("vm");
  cell.ReportNewWorker("vm");
  CHECK(cell.CountStarts() == 1);
}

// The platform writes an entry that has not changed only once, so a VM that is
// dropped while it has one would never be used again.
TEST_CASE("a VM whose entry is of another lifetime is forgotten") {
  Lifetimes cell;
  cell.List("a", kSecondStartMs);
  cell.scheduler.OnVmUnreachable("vm", VmOutage::kDisconnected, cell.now);
  cell.now = cell.now + Millis(60'000);
  CHECK(cell.CountStarts() == 0);
  CHECK(cell.scheduler.Listing("vm"));
}

// A quarantine and a reservation outlived the worker that they were made for.
TEST_CASE("a new lifetime inherits what was kept of the former one") {
  Vm vm({});
  vm.worker_start_ms = kFirstStartMs;
  vm.last_end = vm.durable_end = 7;
  vm.consecutive_failures = 3;
  vm.quarantined_until = Millis(9'000);
  vm.reservation = Reservation();
  vm.ReplaceWorker(kSecondStartMs, /*clock_ms=*/10, Millis(6'000),
                   Millis(1'000));
  CHECK(vm.worker_start_ms == kSecondStartMs);
  CHECK(vm.last_end == 0);
  CHECK(vm.durable_end == 0);
  CHECK(vm.consecutive_failures == 0);
  CHECK(vm.quarantined_until == Millis(0));
  CHECK(!vm.reservation);
  CHECK(vm.known_since == Millis(1'000));
  CHECK(!vm.HasLeaseExpired(Millis(6'900)));
}
