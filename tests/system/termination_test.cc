#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "system/caller_connection.h"
#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::CallerConnection;
using system_test::PlatformDeployment;

/// The termination grace in the deployment's settings.
static constexpr std::chrono::seconds kGrace(4);

TEST_CASE(
    "an entry with several cells exits within its termination grace although "
    "the store does not respond") {
  // Three entries were killed at the end of the grace, because they waited for
  // the store in the hand-over of one cell after the other.
  PlatformDeployment deployment(1, 4, /*cells=*/4);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, "0000000000000001", 2, "60000") == 200);
  deployment.store.drop_append_responses = true;
  deployment.Submit(0, "0000000000000002", 2, "60000");
  const auto started = std::chrono::steady_clock::now();
  deployment.Signal(0, SIGTERM);
  CHECK(deployment.WaitForExit(0) == 0);
  CHECK(std::chrono::steady_clock::now() - started < kGrace);
}

static constexpr char kJob[] =
    R"({"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":100}]})";

TEST_CASE(
    "a request that waits at the end of a stop is cut without an answer") {
  // Two requests were cut that had been sent 2.7 and 3.4 s after the SIGTERM.
  PlatformDeployment deployment(1, 1);
  deployment.WaitUntilReady();
  CallerConnection before(deployment.CallerAddress(0));
  CallerConnection after(deployment.CallerAddress(0));
  REQUIRE(after.Call("GET", "/q/") == 200);
  deployment.store.drop_append_responses = true;
  std::future<unsigned> sent_before = std::async(std::launch::async, [&before] {
    return before.Call("POST", "/q/0000000000000001", kJob, Millis(10'000));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  deployment.Signal(0, SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
  const unsigned status = after.Call("POST", "/q/0000000000000002", kJob);
  CHECK(status == 503);
  // The job may have been accepted, so a refusal would not be true.
  CHECK(sent_before.get() == 504);
  CHECK(deployment.WaitForExit(0) == 0);
  CHECK(deployment.CountInLogs("event=call_cut") == 0);
}

TEST_CASE("a request is cut because the grace is shorter than the reserves") {
  PlatformDeployment deployment(1, 1);
  deployment.WaitUntilReady();
  deployment.Signal(0, SIGTERM);
  REQUIRE(deployment.WaitForExit(0) == 0);
  deployment.StartEntry(0, "0.5");
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, "0000000000000001", 1, "10") == 200);
  deployment.store.drop_append_responses = true;
  CallerConnection caller(deployment.CallerAddress(0));
  std::future<unsigned> status = std::async(std::launch::async, [&caller] {
    return caller.Call("POST", "/q/0000000000000002", kJob);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  deployment.Signal(0, SIGTERM);
  CHECK(status.get() == 504);
  CHECK(deployment.WaitForExit(0) == 0);
}
