#include <catch2/catch.hpp>
#include <string>

#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::PlatformDeployment;

static constexpr int kEntries = 3;
static constexpr int kWorkers = 40;
static constexpr int kJobs = 8;
/// The tasks of a job have nothing running for at most 3 s while there is room.
static constexpr Millis kMaxJobTime(3'000);

static std::string JobId(int number) {
  return "000000000000000" + std::to_string(number);
}

/// A gang of 10,000 tasks, of which the workers have room for half.
static std::string MakeGang() {
  constexpr int kTasks = 10'000;
  const int cpu = kWorkers * standins::WorkerStandin::kCpuMillis / (kTasks / 2);
  return R"({"spec":"1000","steps":[{"count":10000,"gang":true,"cpu":)" +
         std::to_string(cpu) + R"(,"mem_mb":1,"max_per_server":1000}]})";
}

// LOST: a gang without room kept each owner of its cell from renewing leases
// and answering, so that accepted jobs had nothing running.
TEST_CASE("ordinary jobs are done in time beside a large gang without room") {
  PlatformDeployment deployment(kEntries, kWorkers);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Call(0, "POST", "/q/" + JobId(9), MakeGang()) == 200);
  for (int job = 0; job < kJobs; ++job) {
    const int entry = job % kEntries;
    CAPTURE(job);
    CHECK(deployment.Submit(entry, JobId(job), 3, "200") == 200);
    CHECK(deployment.WaitForJobState(entry, JobId(job), "done", kMaxJobTime));
  }
  CHECK(deployment.CountInLogs("event=owner_expired") == 0);
  CHECK(deployment.CountInLogs("event=owner_fenced") == 0);
}
