#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "system/caller_connection.h"
#include "system/platform_deployment.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using system_test::CallerConnection;
using system_test::PlatformDeployment;

static constexpr int kEntries = 5;
static constexpr int kWorkers = 4;
static constexpr int kCells = 4;
static constexpr int kJobs = 400;
static constexpr int kCallers = 16;
/// After that time, each request has to be served again.
static constexpr std::chrono::seconds kRecoveryTime(15);
/// A few kB of text make a journal of several pages.
static constexpr std::size_t kPayloadBytes = 3'000;

static std::string JobId(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

/// A job whose task lasts for a minute, so that most jobs wait.
static std::string MakeJob() {
  // Workers read the number at the start.
  std::string payload = "60000";
  payload += std::string(kPayloadBytes, ' ');
  return R"({"spec":")" + payload +
         R"(","steps":[{"count":2,"cpu":1000,"mem_mb":100}]})";
}

/// Submits the jobs whose number is `first` plus a multiple of kCallers.
static int SubmitJobs(const PlatformDeployment& deployment, int first) {
  CallerConnection connection(deployment.CallerAddress(first % kEntries));
  const std::string job = MakeJob();
  int accepted = 0;
  for (int number = first; number < kJobs; number += kCallers) {
    if (connection.Call("POST", "/q/" + JobId(number), job) == 200) ++accepted;
  }
  return accepted;
}

/// Asks the entry for each job's state on one connection that it keeps.
/// Returns the number of requests without one.
static int CountUnanswered(const PlatformDeployment& deployment, int entry) {
  CallerConnection connection(deployment.CallerAddress(entry));
  int unanswered = 0;
  for (int job = 0; job < kJobs; ++job) {
    if (connection.Call("GET", "/q/" + JobId(job)) != 200) ++unanswered;
  }
  return unanswered;
}

/// Returns the sum of `work` for 0 to `count` - 1, each on a thread of its own.
template <class Work>
static int SumInParallel(int count, Work work) {
  std::vector<int> results(static_cast<std::size_t>(count));
  std::vector<std::thread> threads;
  for (int i = 0; i < count; ++i) {
    threads.emplace_back([&results, &work, i] {
      results[static_cast<std::size_t>(i)] = work(i);
    });
  }
  int sum = 0;
  for (int i = 0; i < count; ++i) {
    threads[static_cast<std::size_t>(i)].join();
    sum += results[static_cast<std::size_t>(i)];
  }
  return sum;
}

/// Guards against jobs of which no entry tells the state after a restart of all
/// entries, while owners read journals of hundreds of jobs.
TEST_CASE("each entry tells the state of each job after the kill of all") {
  PlatformDeployment deployment(kEntries, kWorkers, kCells);
  deployment.WaitUntilReady();
  REQUIRE(SumInParallel(kCallers, [&](int first) {
            return SubmitJobs(deployment, first);
          }) == kJobs);
  for (int entry = 0; entry < kEntries; ++entry)
    deployment.Signal(entry, SIGKILL);
  for (int entry = 0; entry < kEntries; ++entry) deployment.WaitForExit(entry);
  for (int entry = 0; entry < kEntries; ++entry) deployment.StartEntry(entry);
  const auto started = std::chrono::steady_clock::now();
  deployment.WaitUntilReady();
  const auto ask = [&](int entry) {
    return CountUnanswered(deployment, entry);
  };
  int rounds = 1;
  while (SumInParallel(kEntries, ask) > 0 && rounds < 10) ++rounds;
  CHECK(std::chrono::steady_clock::now() - started < kRecoveryTime);
  CAPTURE(rounds);
  CHECK(SumInParallel(kEntries, ask) == 0);
}
