#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::PlatformDeployment;

static std::string JobId(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

/// Checks that each of the `tasks` tasks of jobs 0 to `jobs` - 1 has been done
/// exactly once. It may have been started more often, as runs can be lost.
static void CheckTasksDoneOnce(const PlatformDeployment& deployment, int jobs,
                               int tasks) {
  for (int job = 0; job < jobs; ++job) {
    for (int task = 0; task < tasks; ++task) {
      const std::string name = JobId(job) + ".0.0." + std::to_string(task);
      CAPTURE(name);
      const auto found = deployment.histories.find(name);
      REQUIRE(found != deployment.histories.end());
      CHECK(found->second.runs_done == 1);
    }
  }
}

TEST_CASE("a job can be submitted and polled at any entry until it is done") {
  PlatformDeployment deployment(3, 3);
  deployment.WaitUntilReady();
  for (int job = 0; job < 6; ++job) {
    CHECK(deployment.Submit(job % 3, JobId(job), 3, "100") == 200);
    // Submitting the same id again, at any entry, refers to the same job.
    CHECK(deployment.Submit((job + 1) % 3, JobId(job), 3, "100") == 200);
  }
  for (int job = 0; job < 6; ++job) {
    CHECK(deployment.WaitForJobState(job % 3, JobId(job), "done"));
  }
  CheckTasksDoneOnce(deployment, 6, 3);
  CHECK(deployment.Submit(0, JobId(9), 1, "fail") == 200);
  CHECK(deployment.WaitForJobState(1, JobId(9), "failed"));
  CHECK(deployment.histories[JobId(9) + ".0.0.0"].starts_accepted == 2);
}

TEST_CASE("invalid calls are rejected and create no job") {
  PlatformDeployment deployment(1, 1);
  deployment.WaitUntilReady();
  CHECK(deployment.Call(0, "POST", "/q/" + JobId(1), "no JSON") == 400);
  CHECK(deployment.Call(0, "POST", "/q/short", "{}") == 400);
  CHECK(deployment.Call(0, "PUT", "/q/" + JobId(1), "{}") == 405);
  CHECK(deployment.Call(0, "POST", "/q/", "{}") == 405);
  CHECK(deployment.Call(0, "GET", "/unknown/" + JobId(1)) == 404);
  CHECK(deployment.Call(0, "GET", "/q/" + JobId(1)) == 410);
  CHECK(deployment.Call(0, "DELETE", "/q/" + JobId(1)) == 410);
  CHECK(deployment.Call(0, "GET", "/q/") == 200);
}

TEST_CASE("a running job can be cancelled at another entry") {
  PlatformDeployment deployment(2, 2);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, JobId(1), 4, "60000") == 200);
  REQUIRE(deployment.WaitForJobState(1, JobId(1), "running"));
  CHECK(deployment.Call(1, "DELETE", "/q/" + JobId(1)) == 200);
  CHECK(deployment.JobStateOf(0, JobId(1)) == "cancelled");
}

TEST_CASE(
    "killing the owner of a cell loses no job and repeats no finished task") {
  PlatformDeployment deployment(3, 3);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, JobId(0), 6, "1500") == 200);
  REQUIRE(deployment.Submit(1, JobId(1), 6, "1500") == 200);
  REQUIRE(deployment.WaitForJobState(0, JobId(0), "running"));
  const int owner = deployment.FindOwner();
  REQUIRE(owner >= 0);
  deployment.Signal(owner, SIGKILL);
  deployment.WaitForExit(owner);
  const int other = (owner + 1) % 3;
  CHECK(deployment.WaitForJobState(other, JobId(0), "done", Millis(15'000)));
  CHECK(deployment.WaitForJobState(other, JobId(1), "done", Millis(15'000)));
  CheckTasksDoneOnce(deployment, 2, 6);
  deployment.StartEntry(owner);
  deployment.WaitUntilReady();
  CHECK(deployment.JobStateOf(owner, JobId(0)) == "done");
}

TEST_CASE("an owner hands its cell over on SIGTERM and exits with status 0") {
  PlatformDeployment deployment(2, 2);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, JobId(0), 4, "1000") == 200);
  REQUIRE(deployment.WaitForJobState(0, JobId(0), "running"));
  const int owner = deployment.FindOwner();
  REQUIRE(owner >= 0);
  deployment.Signal(owner, SIGTERM);
  const int other = 1 - owner;
  CHECK(deployment.Submit(other, JobId(1), 1, "10") == 200);
  CHECK(deployment.WaitForJobState(other, JobId(1), "done"));
  CHECK(deployment.WaitForExit(owner) == 0);
  CHECK(deployment.WaitForJobState(other, JobId(0), "done"));
  CheckTasksDoneOnce(deployment, 1, 4);
}

TEST_CASE("accepted jobs survive the kill of all entries") {
  PlatformDeployment deployment(3, 2);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(2, JobId(0), 4, "300") == 200);
  for (int entry = 0; entry < 3; ++entry) deployment.Signal(entry, SIGKILL);
  for (int entry = 0; entry < 3; ++entry) deployment.WaitForExit(entry);
  deployment.store.history_expired =
      true;  // Only the newest record of each key is left.
  for (int entry = 0; entry < 3; ++entry) deployment.StartEntry(entry);
  deployment.WaitUntilReady();
  CHECK(deployment.WaitForJobState(0, JobId(0), "done", Millis(15'000)));
  CheckTasksDoneOnce(deployment, 1, 4);
}

TEST_CASE(
    "runs continue while the store is down, and a rejected job never runs") {
  PlatformDeployment deployment(2, 2);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, JobId(0), 4, "1500") == 200);
  REQUIRE(deployment.WaitForJobState(0, JobId(0), "running"));
  deployment.store.unavailable = true;
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  const unsigned submit_status = deployment.Submit(0, JobId(1), 1, "10");
  CHECK((submit_status == 503 || submit_status == 504));
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  deployment.store.unavailable = false;
  CHECK(deployment.WaitForJobState(1, JobId(0), "done"));
  CheckTasksDoneOnce(deployment, 1, 4);
  if (submit_status == 503)
    CHECK(deployment.histories.count(JobId(1) + ".0.0.0") == 0);
  CHECK(deployment.Submit(1, JobId(2), 1, "10") == 200);
  CHECK(deployment.WaitForJobState(0, JobId(2), "done"));
}

TEST_CASE("lost responses of the store neither reject nor duplicate a job") {
  PlatformDeployment deployment(2, 2);
  deployment.WaitUntilReady();
  deployment.store.drop_append_responses = true;
  const unsigned submit_status = deployment.Submit(0, JobId(0), 2, "50");
  // 503 if an earlier append still has no response, 504 if the append of this
  // job has none.
  CHECK((submit_status == 503 || submit_status == 504));
  deployment.store.drop_append_responses = false;
  if (submit_status == 503) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    CHECK(deployment.JobStateOf(1, JobId(0)).empty());
    CHECK(deployment.histories.count(JobId(0) + ".0.0.0") == 0);
  }
  CHECK(deployment.Submit(1, JobId(0), 2, "50") == 200);
  CHECK(deployment.WaitForJobState(0, JobId(0), "done"));
  CheckTasksDoneOnce(deployment, 1, 2);
}

TEST_CASE("a start command whose response is lost starts its run once") {
  PlatformDeployment deployment(1, 2);
  deployment.WaitUntilReady();
  for (auto& worker : deployment.workers) worker->drop_start_responses = true;
  REQUIRE(deployment.Submit(0, JobId(0), 4, "200") == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  for (auto& worker : deployment.workers) worker->drop_start_responses = false;
  CHECK(deployment.WaitForJobState(0, JobId(0), "done"));
  CheckTasksDoneOnce(deployment, 1, 4);
  for (const auto& [task, history] : deployment.histories) {
    CHECK(history.starts_accepted == 1);
  }
}

TEST_CASE("jobs of a full cell move to another and are found at every entry") {
  PlatformDeployment deployment(3, 2, /*cells=*/2);
  deployment.WaitUntilReady();
  // Owners publish their cell's load once a second; until then, jobs of several
  // tasks queue up in the full cell.
  const int jobs = 10;
  for (int job = 0; job < jobs; ++job) {
    CHECK(deployment.Submit(job % 3, JobId(job), 4, "600") == 200);
    CHECK(deployment.Submit((job + 1) % 3, JobId(job), 4, "600") == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
  }
  CHECK(deployment.CountInLogs("event=job_moved") > 0);
  for (int entry = 0; entry < 3; ++entry) deployment.Signal(entry, SIGKILL);
  for (int entry = 0; entry < 3; ++entry) deployment.WaitForExit(entry);
  for (int entry = 0; entry < 3; ++entry) deployment.StartEntry(entry);
  deployment.WaitUntilReady();
  for (int job = 0; job < jobs; ++job) {
    CAPTURE(job);
    CHECK(deployment.Submit(job % 3, JobId(job), 4, "600") == 200);
    CHECK(deployment.WaitForJobState(job % 3, JobId(job), "done",
                                     Millis(30'000)));
  }
  CheckTasksDoneOnce(deployment, jobs, 4);
}
