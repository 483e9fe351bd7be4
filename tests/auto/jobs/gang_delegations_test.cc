#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kHome = 1;
static constexpr int kHost = 2;
static constexpr char kJob[] = "report";
static const TaskRef kFirst{kJob, 0, 0, 0};

/// A home cell with one VM, and a gang of two tasks that each need a whole one.
struct GangHome : SchedulerFixture {
  GangHome() {
    AddVm("a");
    StepSpec gang = MakeStep(2, 16'000);
    gang.gang = true;
    Accept(kJob, MakeJob({gang}));
  }

  std::vector<TaskRef> Wait(Millis duration) {
    Plan();
    now = now + duration;
    return scheduler.GangsToDelegate(now);
  }

  Delegation Sent() {
    const auto sent = scheduler.DelegationsToSend(now);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].first == kHost);
    Delegation delegation = sent[0].second;
    delegation.record.home_cell = kHome;
    return delegation;
  }

  Delegation DelegateAll() {
    Wait(Millis(0));
    REQUIRE(Wait(settings.delegation_delay).size() == 1);
    scheduler.DelegateGang(kFirst, kHost);
    Flush();
    return Sent();
  }
};

/// A host with two VMs that runs the gang.
struct GangHost : SchedulerFixture {
  explicit GangHost(const Delegation& delegation) : wanted(delegation) {
    AddVm("h1");
    AddVm("h2");
    scheduler.Host(wanted, wall_ms, now);
    Flush();
    started = PlanAndConfirm();
    REQUIRE(started.size() == 2);
    Flush();
  }

  /// Both runs end, and the journal holds that.
  DelegationReport End(RunEnd first, RunEnd second) {
    ++ends;
    Report(started[0].vm, {},
           {MakeEnd(ends, started[0].task, started[0].run, first)});
    Report(started[1].vm, {},
           {MakeEnd(ends, started[1].task, started[1].run, second)});
    Plan();
    Flush();
    return scheduler.Host(wanted, wall_ms, now);
  }

  Delegation wanted;
  std::vector<RunCommand> started;
  int ends = 0;
};

// A gang stayed for good in a cell whose VMs could not hold it.
TEST_CASE("a gang that waits is delegated as a whole") {
  GangHome home;
  CHECK(home.Wait(Millis(0)).empty());
  CHECK(home.Wait(home.settings.delegation_delay) ==
        std::vector<TaskRef>{kFirst});
  home.scheduler.DelegateGang(kFirst, kHost);
  home.Flush();
  CHECK(home.Wait(home.settings.delegation_delay).empty());
  const Delegation sent = home.Sent();
  REQUIRE(sent.tasks.size() == 2);
  GangHost host(sent);
  CHECK(host.started[0].run == host.started[1].run);
  CHECK(host.started[0].vm != host.started[1].vm);
}

// One end `done` stands for the whole gang, whose other tasks would be waited
// for.
TEST_CASE("a gang that is done at its host ends its job at home") {
  GangHome home;
  const Delegation sent = home.DelegateAll();
  GangHost host(sent);
  const DelegationReport report = host.End(RunEnd::kDone, RunEnd::kBroken);
  REQUIRE(report.tasks.size() == 2);
  for (const DelegatedTaskReport& row : report.tasks)
    CHECK(row.state == DelegationState::kReturned);
  home.scheduler.OnDelegationReport(kJob, kHost, report, home.now);
  home.Flush();
  CHECK(home.scheduler.VisibleStateOf(kJob) == VisibleJobState::kDone);
}

// Each task alone stays below the limit that its gang has reached.
TEST_CASE("the failed runs of a gang's tasks count together in both cells") {
  GangHome home;
  const Delegation sent = home.DelegateAll();
  GangHost host(sent);
  DelegationReport report = host.End(RunEnd::kFailed, RunEnd::kFailed);
  REQUIRE(report.tasks.size() == 2);
  CHECK(report.tasks[0].state == DelegationState::kReturned);
  CHECK(report.tasks[0].failures == 1);
  home.scheduler.OnDelegationReport(kJob, kHost, report, home.now);
  home.Flush();
  CHECK(home.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

// Home starts a gang again only once all its tasks are back.
TEST_CASE("a gang without a place at its host comes back as a whole") {
  GangHome home;
  const Delegation sent = home.DelegateAll();
  SchedulerFixture host;
  host.AddVm("h1");
  host.scheduler.Host(sent, host.wall_ms, host.now);
  host.Flush();
  host.Plan();
  host.now = host.now + host.settings.max_gang_wait_at_host;
  CHECK(host.Plan().empty());
  host.Flush();
  const DelegationReport report =
      host.scheduler.Host(sent, host.wall_ms, host.now);
  home.scheduler.OnDelegationReport(kJob, kHost, report, home.now);
  home.Flush();
  home.AddVm("b");
  home.now = home.now + home.settings.host_cooldown;
  CHECK(home.Plan().size() == 2);
}
