#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static const std::string kOther(16, 'b');
static constexpr Millis kTick(100);

/// The VM's capacity becomes `cpu_millis`.
static void Resize(SchedulerFixture& fixture, std::int64_t cpu_millis) {
  VmListing listing = fixture.listings.front();
  listing.capacity.cpu_millis = cpu_millis;
  fixture.scheduler.UpsertVm(listing, fixture.now);
}

static int CountStarts(const std::vector<RunCommand>& commands) {
  int starts = 0;
  for (const RunCommand& command : commands)
    starts += command.kind == RunCommandKind::kStart ? 1 : 0;
  return starts;
}

/// Returns the starts of the next second.
static int StartsWithinASecond(SchedulerFixture& fixture) {
  int starts = 0;
  for (int tick = 0; tick < 10; ++tick) {
    fixture.now = fixture.now + kTick;
    starts += CountStarts(fixture.Plan());
  }
  return starts;
}

TEST_CASE("a start without an answer is not repeated on a VM that has shrunk") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 6'000)}));
  const std::vector<RunCommand> commands = fixture.Plan();
  REQUIRE(CountStarts(commands) == 2);
  fixture.Answer(commands[0], RunCommandOutcome::kDone);
  fixture.Answer(commands[1], RunCommandOutcome::kUnknown);
  fixture.Flush();
  Resize(fixture, 8'000);
  CHECK(StartsWithinASecond(fixture) == 0);
}

TEST_CASE(
    "a VM that has shrunk below its runs gets no more until it has room") {
  SchedulerFixture fixture;
  fixture.AddVm("vm");
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(2, 6'000)}));
  REQUIRE(CountStarts(fixture.PlanAndConfirm()) == 2);
  Resize(fixture, 8'000);
  fixture.Accept(kOther, fixture.MakeJob({fixture.MakeStep(1, 500)}));
  CHECK(StartsWithinASecond(fixture) == 0);
  Resize(fixture, 16'000);
  CHECK(StartsWithinASecond(fixture) == 1);
}
