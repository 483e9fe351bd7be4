#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kHome = 1;
static constexpr int kHost = 2;
static constexpr std::int64_t kTaskCpuMillis = 1'000;

static JobSpec MakeLongRunningJob() {
  StepSpec step = SchedulerFixture::MakeStep(1, kTaskCpuMillis);
  step.long_running = true;
  return SchedulerFixture::MakeJob({step});
}

/// A home cell whose only VM is full, and which has delegated the tasks of
/// three jobs.
struct DelegatingHome : SchedulerFixture {
  DelegatingHome() {
    AddVm("full");
    Accept("filler", MakeJob({MakeStep(1, 16'000)}));
    PlanAndConfirm();
    for (const char* job : {"a", "b", "c"}) {
      Accept(job, MakeLongRunningJob());
    }
    // The tasks become due.
    REQUIRE(Plan().empty());
    for (const char* job : {"a", "b", "c"})
      scheduler.Delegate({job, 0, 0, 0}, kHost);
    Flush();
  }
};

TEST_CASE("only ended jobs with tasks at the host cell are listed as recalls") {
  DelegatingHome home;
  CHECK(home.scheduler.EndedJobsAt({kHost}, "", 10).empty());
  home.scheduler.Cancel("b", home.wall_ms);
  CHECK(home.scheduler.EndedJobsAt({kHost}, "", 10) ==
        std::vector<std::string>{"b"});
  CHECK(home.scheduler.EndedJobsAt({kHost + 1}, "", 10).empty());
  // Its successor lists it, too.
  home.Flush();
  auto next = home.TakeOver(10'001);
  CHECK(next->EndedJobsAt({kHost}, "", 10) == std::vector<std::string>{"b"});
}

TEST_CASE("recalls that one record cannot hold are listed by the next ones") {
  DelegatingHome home;
  for (const char* job : {"a", "b", "c"}) home.scheduler.Cancel(job, 0);
  CHECK(home.scheduler.EndedJobsAt({kHost}, "", 2) ==
        std::vector<std::string>{"a", "b"});
  CHECK(home.scheduler.EndedJobsAt({kHost}, "b", 2) ==
        std::vector<std::string>{"c", "a"});
}

TEST_CASE("a host ends what a recall lists, and returns it for good") {
  DelegatingHome home;
  SchedulerFixture host;
  host.AddVm("h");
  CHECK(host.scheduler.HomesOfHostedTasks().empty());
  std::vector<Delegation> delegations;
  for (auto& [cell, delegation] : home.scheduler.DelegationsToSend(home.now)) {
    delegation.record.home_cell = kHome;
    host.scheduler.Host(delegation, host.wall_ms, host.now);
    delegations.push_back(delegation);
  }
  REQUIRE(delegations.size() == 3);
  host.Flush();
  REQUIRE(host.PlanAndConfirm().size() == 3);
  host.Flush();
  CHECK(host.scheduler.HomesOfHostedTasks() == std::set<int>{kHome});
  // Another cell's jobs of these names are not meant.
  CHECK(host.scheduler.RecallHosted(kHome + 1, {"a", "b"}) == 0);
  CHECK(host.scheduler.RecallHosted(kHome, {"a", "b", "unknown"}) == 2);
  CHECK(host.scheduler.RecallHosted(kHome, {"a", "b"}) == 0);
  host.now = host.now + Millis(200);
  const std::vector<RunCommand> commands = host.Plan();
  REQUIRE(commands.size() == 2);
  for (const RunCommand& command : commands) {
    CHECK(command.kind == RunCommandKind::kStop);
    CHECK(command.task.job != "c");
  }
  // A copy of the delegation that was late.
  CHECK(host.scheduler.Host(delegations[0], host.wall_ms, host.now)
            .tasks[0]
            .state == DelegationState::kReturning);
}
