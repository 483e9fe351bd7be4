#include "jobs/moved_jobs.h"

#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr Millis kNow(1'000'000);
static constexpr Millis kInterval(120'000);

TEST_CASE("a move is reported only once it is in the journal") {
  MovedJobs moved;
  moved.Add(kJob, 3, kNow);
  CHECK(moved.Contains(kJob));
  CHECK(!moved.CellOf(kJob));
  JournalBatch batch;
  moved.TakeChanges(batch);
  REQUIRE(batch.entries.size() == 1);
  CHECK(!moved.HasChanges());
  moved.OnDurable(batch);
  CHECK(moved.CellOf(kJob) == 3);
}

TEST_CASE("a move is checked once per interval and removed on request") {
  MovedJobs moved;
  moved.Restore(kJob, 3, kNow);
  CHECK(!moved.NextToCheck(kInterval, kNow + Millis(1'000)));
  CHECK(moved.NextToCheck(kInterval, kNow + kInterval) == kJob);
  CHECK(!moved.NextToCheck(kInterval, kNow + kInterval));
  CHECK(moved.RemoveUnlessRedirected(kJob));
  JournalBatch batch;
  moved.TakeChanges(batch);
  REQUIRE(batch.entries.size() == 1);
  CHECK(batch.entries[0].value.empty());
  CHECK(!moved.Contains(kJob));
}

TEST_CASE("a scheduler writes moves to the journal along with its jobs") {
  SchedulerFixture fixture;
  fixture.scheduler.Moved().Add(kJob, 2, fixture.now);
  CHECK(fixture.scheduler.HasBatch());
  fixture.Flush();
  CHECK(fixture.scheduler.Moved().CellOf(kJob) == 2);
  CHECK(fixture.journal.contains("m" + kJob));
  CHECK(!fixture.scheduler.HasBatch());
}

/// Guards against a job that its home cell and another cell accept: the other
/// one did not have it yet when that was checked.
TEST_CASE("a move stays while submissions of the job are redirected") {
  MovedJobs moved;
  moved.Restore(kJob, 3, kNow);
  const Millis asked_at = kNow + kInterval;
  REQUIRE(moved.NextToCheck(kInterval, asked_at) == kJob);
  moved.OnSubmissionRedirected(kJob, asked_at);
  CHECK(!moved.RemoveUnlessRedirected(kJob));
  CHECK(moved.CellOf(kJob) == 3);
  // The submission may be under way for long.
  CHECK(!moved.NextToCheck(kInterval, asked_at + kInterval - Millis(1)));
  CHECK(moved.NextToCheck(kInterval, asked_at + kInterval) == kJob);
  CHECK(moved.RemoveUnlessRedirected(kJob));
}
