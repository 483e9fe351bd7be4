#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "system/caller_connection.h"
#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::CallerConnection;
using system_test::PlatformDeployment;

static constexpr char kJobId[] = "0000000000000001";

static void Sleep(Millis duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration.count));
}

TEST_CASE("an entry that relays for another entry exits before the answer") {
  // The exit waited for the requests of callers only.
  PlatformDeployment deployment(2, 1);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, kJobId, 1, "10") == 200);
  const int owner = deployment.FindOwner();
  REQUIRE(owner >= 0);
  const int relay = 1 - owner;
  cell::JobRequest request;
  request.queue = "r";
  request.job = kJobId;
  request.timeout_ms = 5'000;
  request.relay_for = "127.0.0.1:1";
  deployment.Signal(relay, SIGTERM);
  Sleep(Millis(1'000));
  deployment.Signal(owner, SIGSTOP);
  auto reply = std::async(std::launch::async, [&] {
    return deployment.CallAsPeer(relay, request);
  });
  Sleep(Millis(1'800));
  deployment.Signal(owner, SIGCONT);
  CHECK(reply.get().kind == cell::ReplyKind::kDone);
  CHECK(deployment.WaitForExit(relay) == 0);
}

TEST_CASE("a request that arrives just before the exit gets no answer") {
  // The exit did not wait for connections and requests that were not read yet.
  PlatformDeployment deployment(1, 1);
  deployment.WaitUntilReady();
  std::list<CallerConnection> connections;
  deployment.Signal(0, SIGTERM);
  Sleep(Millis(2'200));
  // Everything arrives in one pass of the entry's event loop, at the time of
  // its exit.
  deployment.Signal(0, SIGSTOP);
  for (int i = 0; i < 8; ++i)
    connections.emplace_back(deployment.CallerAddress(0));
  std::vector<std::future<unsigned>> statuses;
  for (CallerConnection& connection : connections) {
    statuses.push_back(std::async(std::launch::async, [&connection] {
      return connection.Call("GET", std::string("/q/") + kJobId);
    }));
  }
  Sleep(Millis(500));
  deployment.Signal(0, SIGCONT);
  for (std::future<unsigned>& status : statuses) CHECK(status.get() == 503);
  CHECK(deployment.WaitForExit(0) == 0);
}
