#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "auto/schedules/schedule.h"

using basilspur::schedules::FaultMix;
using basilspur::schedules::FaultSchedule;

// Each mix of faults runs a number of random schedules. The environment can set
// the first seed (BASILSPUR_SEED) and the number of schedules for each mix
// (BASILSPUR_SCHEDULES) for longer runs.

static std::uint64_t NumberFromEnvironment(const char* name,
                                           std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

static void RunMix(const char* name, const FaultMix& mix) {
  const std::uint64_t first = NumberFromEnvironment("BASILSPUR_SEED", 1);
  const std::uint64_t count = NumberFromEnvironment("BASILSPUR_SCHEDULES", 150);
  std::cout << name << ": seeds " << first << " to " << first + count - 1
            << "\n";
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::string violation = FaultSchedule(seed, mix).Run();
    INFO(name << ", seed " << seed);
    REQUIRE(violation == "");
  }
}

TEST_CASE("no faults") { RunMix("no faults", {}); }

TEST_CASE("pauses of entries") { RunMix("pauses", {.pauses = true}); }

TEST_CASE("restarts of entries") { RunMix("restarts", {.restarts = true}); }

TEST_CASE("outages of the log, with lost append replies") {
  RunMix("log", {.log_outages = true, .lost_append_replies = true});
}

TEST_CASE("workers unreachable from some entries") {
  RunMix("partitions", {.worker_partitions = true});
}

TEST_CASE("VMs lost") { RunMix("VM losses", {.vm_losses = true}); }

TEST_CASE("pauses and partitions") {
  RunMix("pauses and partitions", {.pauses = true, .worker_partitions = true});
}

TEST_CASE("restarts and log outages") {
  RunMix("restarts and log outages", {.restarts = true, .log_outages = true});
}

TEST_CASE("jobs with wrong resource requests, with partitions") {
  RunMix("wrong resource requests",
         {.worker_partitions = true, .wrong_resource_requests = true});
}

TEST_CASE("all faults together") {
  RunMix("all faults", {.pauses = true,
                        .restarts = true,
                        .log_outages = true,
                        .lost_append_replies = true,
                        .worker_partitions = true,
                        .vm_losses = true,
                        .clock_jumps = true,
                        .failing_jobs = true,
                        .wrong_resource_requests = true});
}
