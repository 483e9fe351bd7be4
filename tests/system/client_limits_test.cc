// Clients outside the limits of the users' pages: what they send must not end
// an entry by its memory or its descriptors, nor keep others from being served.
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "system/client_crowd.h"
#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::ClientCrowd;
using system_test::CrowdInput;
using system_test::PlatformDeployment;

static constexpr char kJobId[] = "0000000000000001";
/// Of the machine, and so the bounds of this test.
static constexpr std::int64_t kMemoryMb = 64;
static constexpr int kMaxDescriptors = 400;
static constexpr char kLimits[] = "[limits]\nmemory_mb = 64\nmax_fds = 400\n";
/// Together they send twice the memory of the machine.
static constexpr int kClients = 8;
static constexpr std::size_t kBytesOfEach = 16 << 20;
static constexpr std::size_t kFillerBytes = 64 << 10;
/// More than the descriptors of the machine.
static constexpr int kManyClients = 600;
static constexpr int kMaxPolls = 100;
static constexpr std::chrono::milliseconds kPollInterval(100);

enum class Listener { kCallers, kReadiness, kPeers };

static std::string AddressOf(const PlatformDeployment& deployment,
                             Listener listener) {
  switch (listener) {
    case Listener::kCallers:
      return deployment.CallerAddress(0);
    case Listener::kReadiness:
      return deployment.ReadinessAddress(0);
    case Listener::kPeers:
      return deployment.PeerAddress(0);
  }
  return "";
}

/// Whether an ordinary request is answered.
static bool Answers(PlatformDeployment& deployment, Listener listener) {
  switch (listener) {
    case Listener::kCallers:
      return deployment.Call(0, "GET", std::string("/q/") + kJobId) == 200;
    case Listener::kReadiness:
      return deployment.IsReady(0);
    case Listener::kPeers:
      return deployment.IsServingMetrics(0);
  }
  return false;
}

static bool AnswersSoon(PlatformDeployment& deployment, Listener listener) {
  for (int i = 0; i < kMaxPolls; ++i) {
    if (Answers(deployment, listener)) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

static void CheckEntry(PlatformDeployment& deployment, Listener listener) {
  REQUIRE_FALSE(deployment.TryWaitForExit(0));
  CHECK(deployment.PeakMemoryMb(0) < kMemoryMb);
  CHECK(deployment.DescriptorCount(0) < kMaxDescriptors);
  CHECK(AnswersSoon(deployment, listener));
  CHECK(AnswersSoon(deployment, Listener::kCallers));
  // By then all connections have been accepted.
  REQUIRE_FALSE(deployment.TryWaitForExit(0));
  CHECK(deployment.PeakMemoryMb(0) < kMemoryMb);
  CHECK(deployment.DescriptorCount(0) < kMaxDescriptors);
}

/// Sends what `input` says from a crowd, and checks the entry while all its
/// connections are open.
static void SendFromCrowd(Listener listener, int clients,
                          const CrowdInput& input) {
  PlatformDeployment deployment(1, 1, 1, /*relay_peers=*/false, kLimits);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, kJobId, 1, "10") == 200);
  const ClientCrowd crowd(AddressOf(deployment, listener), clients, input);
  INFO("bytes sent " << crowd.SentBytes());
  CheckEntry(deployment, listener);
}

static std::string Head(const std::string& fields) {
  return std::string("POST /q/") + kJobId +
         " HTTP/1.1\r\nHost: jobs.example\r\n" + fields;
}

static const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

static std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes) repeated += text;
  return repeated;
}

/// Guards against trailers that are kept until they end.
TEST_CASE("trailers without end fill the memory", "[known-red]") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(
      listener, kClients,
      {Head(kChunked) + "1\r\na\r\n0\r\n",
       Repeat("X-Trailer: aaaaaaaaaaaaaaaa\r\n", kFillerBytes), kBytesOfEach});
}

/// Guards against a chunk extension that is kept until it ends.
TEST_CASE("a chunk extension without end fills the memory", "[known-red]") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(
      listener, kClients,
      {Head(kChunked) + "1;", std::string(kFillerBytes, 'a'), kBytesOfEach});
}

/// Guards against bodies that are kept up to any length that is announced.
TEST_CASE("large bodies fill the memory", "[known-red]") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(listener, kClients,
                {Head("Content-Length: 60000000\r\n\r\n"),
                 std::string(kFillerBytes, ' '), kBytesOfEach});
}

/// Guards against chunked bodies that are kept however long they are.
TEST_CASE("large chunked bodies fill the memory", "[known-red]") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(
      listener, kClients,
      {Head(kChunked), "10000\r\n" + std::string(0x10000, ' ') + "\r\n",
       kBytesOfEach});
}

/// Guards against bodies inside the limit of one request whose sum is bounded
/// by nothing.
TEST_CASE("many bodies that do not end fill the memory", "[known-red]") {
  const Listener listener = GENERATE(Listener::kCallers, Listener::kPeers);
  SendFromCrowd(listener, kManyClients,
                {Head("Content-Length: 262144\r\n\r\n"),
                 std::string(kFillerBytes, ' '), 3 * kFillerBytes});
}

TEST_CASE("headers without end fill the memory") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(
      listener, kClients,
      {Head(""), Repeat("X-Header: aaaaaaaaaaaaaaaa\r\n", kFillerBytes),
       kBytesOfEach});
}

TEST_CASE("chunks of one byte fill the memory") {
  SendFromCrowd(
      Listener::kCallers, kClients,
      {Head(kChunked), Repeat("1\r\na\r\n", kFillerBytes), kBytesOfEach});
}

/// Guards against connections that use up the descriptors that an entry needs
/// for the store, other entries and VMs.
TEST_CASE("connections with a part of a request use up the descriptors") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(listener, kManyClients, {"GET /q/", "", 0});
}

TEST_CASE("connections that send nothing use up the descriptors") {
  const Listener listener =
      GENERATE(Listener::kCallers, Listener::kReadiness, Listener::kPeers);
  SendFromCrowd(listener, kManyClients, {"", "", 0});
}

/// Guards against requests that are read ahead although their answers are not.
TEST_CASE("pipelined requests whose answers are not read fill the memory") {
  const std::string request = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
  SendFromCrowd(Listener::kPeers, kClients,
                {request, Repeat(request, kFillerBytes), kBytesOfEach});
}

/// Guards against a metric for each text that a client sends as a method.
TEST_CASE("methods that nobody knows fill the memory with metrics") {
  PlatformDeployment deployment(1, 1, 1, /*relay_peers=*/false, kLimits);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, kJobId, 1, "10") == 200);
  std::string requests;
  for (int i = 0; i < 10'000; ++i) {
    requests += "M" + std::to_string(i) + std::string(7'000, 'a') + " /q/" +
                kJobId + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
  }
  deployment.Exchange(deployment.CallerAddress(0), requests);
  CheckEntry(deployment, Listener::kCallers);
}

/// Guards against a nested text whose decoded form is many times as long.
TEST_CASE("nested bodies fill the memory") {
  PlatformDeployment deployment(1, 1, 1, /*relay_peers=*/false, kLimits);
  deployment.WaitUntilReady();
  REQUIRE(deployment.Submit(0, kJobId, 1, "10") == 200);
  for (int i = 0; i < 8; ++i) {
    deployment.Call(0, "POST", "/q/0000000000000002",
                    "{\"spec\":" + std::string(200'000, '['));
  }
  CheckEntry(deployment, Listener::kCallers);
}
