#include "operators/waiting_reasons.h"

#include <catch2/catch.hpp>
#include <string>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using operators::internal::WaitingReasons;

static state::ClusterState MakeState() {
  state::ClusterState state;
  records::Record record;
  record.writer = {"e", 1};
  record.sequence = 1;
  record.body = records::EntryJoined{};
  REQUIRE(state.Apply(record).Accepted());
  record.sequence = 2;
  record.body =
      records::VmListed{{"vm", "w", "", "", {4'000, 8'000, 0}}, false};
  REQUIRE(state.Apply(record).Accepted());
  return state;
}

static state::Job MakeJob(std::int64_t memory_mib) {
  state::Job job;
  job.spec.id = "job";
  job.spec.resources = {1'000, memory_mib, 0};
  return job;
}

TEST_CASE("a shortage of capacity takes precedence over the last run's end") {
  const state::ClusterState state = MakeState();
  WaitingReasons reasons(state);
  state::Job job = MakeJob(9'000);
  job.detail = "failed: exit code 1";
  CHECK(reasons.ReasonFor(job) == "no VM has 9000 MiB of memory");
}

TEST_CASE("with capacity available, the reason is how the last run ended") {
  const state::ClusterState state = MakeState();
  WaitingReasons reasons(state);
  state::Job job = MakeJob(1'000);
  CHECK(reasons.ReasonFor(job).find("a VM has capacity") == 0);
  job.detail = "takes more than declared, and VM vm is full";
  CHECK(reasons.ReasonFor(job) == job.detail);
}

TEST_CASE("the number of computed reasons is limited") {
  const state::ClusterState state = MakeState();
  WaitingReasons reasons(state);
  constexpr std::int64_t kJobSizes = 1'000;
  std::int64_t computed_reasons = 0;
  for (std::int64_t i = 0; i < kJobSizes; ++i) {
    const std::string reason = reasons.ReasonFor(MakeJob(10'000 + i));
    if (reason.find("no VM has") == 0) ++computed_reasons;
  }
  CHECK(computed_reasons > 0);
  CHECK(computed_reasons < kJobSizes);
  CHECK(reasons.ReasonFor(MakeJob(10'000)) == "no VM has 10000 MiB of memory");
}
