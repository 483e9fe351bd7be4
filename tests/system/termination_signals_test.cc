#include <signal.h>

#include <boost/system/system_error.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "system/caller_connection.h"
#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::CallerConnection;
using system_test::PlatformDeployment;
using SteadyClock = std::chrono::steady_clock;

/// The termination grace in the deployment's settings.
static constexpr std::chrono::seconds kGrace(4);
static constexpr std::chrono::milliseconds kCallInterval(5);
/// A request that ends sooner without an answer may have arrived when its
/// connection was being closed.
static constexpr std::chrono::milliseconds kArrivalTime(20);
static constexpr char kJob[] =
    R"({"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":100}]})";

namespace {

struct CallCounts {
  int answered = 0;
  int cut = 0;    ///< The entry had the request for longer than kArrivalTime.
  int reset = 0;  ///< Other requests without an answer.
};

}  // namespace

/// Calls until the entry refuses connections, and keeps connections open as
/// long as the entry does.
static CallCounts CallUntilRefused(const std::string& address,
                                   const std::string& method,
                                   const std::string& job) {
  CallCounts counts;
  try {
    for (;;) {
      CallerConnection connection(address);
      unsigned status = 1;
      while (status != 0 && !connection.IsClosing()) {
        const SteadyClock::time_point sent_at = SteadyClock::now();
        status =
            connection.Call(method, "/q/" + job, method == "POST" ? kJob : "");
        const bool held = SteadyClock::now() - sent_at > kArrivalTime;
        ++(status != 0 ? counts.answered : held ? counts.cut : counts.reset);
        std::this_thread::sleep_for(kCallInterval);
      }
    }
  } catch (const boost::system::system_error&) {
    return counts;
  }
}

static void Sleep(Millis duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration.count));
}

static void Restart(PlatformDeployment& deployment, int entry) {
  deployment.Signal(entry, SIGKILL);
  deployment.WaitForExit(entry);
  deployment.StartEntry(entry);
}

/// Sends SIGTERM and then the other signals to entry 0, under calls, and checks
/// how it ends.
static void CheckStop(PlatformDeployment& deployment,
                      const std::vector<int>& later_signals) {
  std::vector<std::future<CallCounts>> callers;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(std::async(
        std::launch::async, CallUntilRefused, deployment.CallerAddress(0),
        i % 2 == 0 ? "GET" : "POST", "000000000000000" + std::to_string(i)));
  }
  CallerConnection idle(deployment.CallerAddress(0));
  Sleep(Millis(200));
  const SteadyClock::time_point started_at = SteadyClock::now();
  deployment.Signal(0, SIGTERM);
  for (const int signal : later_signals) {
    Sleep(Millis(700));
    deployment.Signal(0, signal);
  }
  CHECK(deployment.WaitForExit(0) == 0);
  CHECK(SteadyClock::now() - started_at < kGrace);
  CallCounts sum;
  for (std::future<CallCounts>& caller : callers) {
    const CallCounts counts = caller.get();
    sum.answered += counts.answered;
    sum.cut += counts.cut;
    sum.reset += counts.reset;
  }
  CHECK(sum.answered > 0);
  CHECK(sum.cut == 0);
  CHECK(sum.reset == 0);
}

TEST_CASE("further signals in a stop cut requests or end the entry early") {
  const int second = GENERATE(SIGTERM, SIGINT, SIGHUP);
  CAPTURE(second);
  PlatformDeployment deployment(1, 1);
  deployment.WaitUntilReady();
  CheckStop(deployment, {second, SIGTERM, SIGHUP});
}

TEST_CASE("a stop of an entry that is cut off from the store cuts requests") {
  PlatformDeployment deployment(1, 1);
  deployment.WaitUntilReady();
  SECTION("the store is unavailable") { deployment.store.unavailable = true; }
  SECTION("appends get no response") {
    deployment.store.drop_append_responses = true;
  }
  CheckStop(deployment, {SIGTERM});
}

TEST_CASE("a stop of an entry that has read no configuration cuts requests") {
  PlatformDeployment deployment(1, 1);
  deployment.store.unavailable = true;
  Restart(deployment, 0);
  for (int i = 0; i < 500 && deployment.Call(0, "GET", "/q/") == 0; ++i)
    Sleep(Millis(10));
  CheckStop(deployment, {SIGTERM});
}

TEST_CASE("SIGTERM ends an entry that is starting as a crash") {
  constexpr int kEntries = 8;
  PlatformDeployment deployment(kEntries, 1);
  deployment.WaitUntilReady();
  for (int entry = 0; entry < kEntries; ++entry) {
    Restart(deployment, entry);
    while (deployment.CountInLogs("event=starting") < kEntries) {
    }
    deployment.Signal(entry, SIGTERM);
  }
  for (int entry = 0; entry < kEntries; ++entry) {
    CAPTURE(entry);
    CHECK(deployment.WaitForExit(entry) == 0);
  }
}

TEST_CASE("an entry that stops before it has read the layout takes cells") {
  PlatformDeployment deployment(1, 2, /*cells=*/2);
  deployment.WaitUntilReady();
  deployment.Signal(0, SIGTERM);
  REQUIRE(deployment.WaitForExit(0) == 0);
  deployment.store.unavailable = true;
  deployment.StartEntry(0);
  while (deployment.Call(0, "GET", "/q/") == 0) Sleep(Millis(10));
  deployment.Signal(0, SIGTERM);
  Sleep(Millis(100));
  deployment.store.unavailable = false;
  CHECK(deployment.WaitForExit(0) == 0);
  CHECK(deployment.CountInLogs("event=owner_ready") == 0);
}
