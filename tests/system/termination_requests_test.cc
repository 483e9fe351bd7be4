#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
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
