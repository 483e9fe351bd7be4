#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kHost = 2;
static constexpr int kHome = 1;
static constexpr char kJob[] = "report";
static constexpr int kTasks = 4;
static const TaskRef kFirst{kJob, 0, 0, 0};

static int CountStarts(const std::vector<RunCommand>& commands) {
  int starts = 0;
  for (const RunCommand& command : commands)
    starts += command.kind == RunCommandKind::kStart ? 1 : 0;
  return starts;
}

/// A home cell whose only VM is filled by a long-running task, and a job of two
/// steps.
struct HomeFixture : SchedulerFixture {
  explicit HomeFixture(int tasks = kTasks) {
    AddVm("a");
    StepSpec lasting = MakeStep(1, 16'000);
    lasting.long_running = true;
    Accept("watch", MakeJob({lasting}));
    REQUIRE(CountStarts(PlanAndConfirm()) == 1);
    StepSpec second = MakeStep(1, 1'000);
    second.dependencies = {0};
    Accept(kJob, MakeJob({MakeStep(tasks, 2'000), second}));
    Flush();
  }

  /// Plans and asks for tasks to delegate, as in each tick.
  std::vector<TaskRef> Tick() {
    PlanAndConfirm();
    Flush();
    now = now + Millis(100);
    return scheduler.ShortTasksToDelegate(now);
  }

  /// Delegates all tasks of the first step, and returns what is sent.
  Delegation DelegateAll() {
    Tick();
    for (const TaskRef& task : Tick()) scheduler.Delegate(task, kHost);
    Flush();
    return Sent();
  }

  Delegation Sent() {
    const auto sent = scheduler.DelegationsToSend(now);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].first == kHost);
    Delegation delegation = sent[0].second;
    delegation.record.home_cell = kHome;
    return delegation;
  }

  /// Something is due for a host once the answer to it has come.
  void HandOver(const DelegationReport& report) {
    scheduler.OnDelegationReport(kJob, kHost, report, now);
  }
};

struct HostFixture : SchedulerFixture {
  explicit HostFixture(bool has_vm = true) {
    if (has_vm) AddVm("h");
  }

  DelegationReport Host(const Delegation& delegation) {
    return scheduler.Host(delegation, wall_ms, now);
  }

  std::vector<RunCommand> HostAndStart(const Delegation& delegation) {
    Host(delegation);
    Flush();
    return PlanAndConfirm();
  }

  /// The runs end in this way.
  void End(const std::vector<RunCommand>& started, RunEnd how,
           const std::string& checkpoint = "") {
    std::vector<EndedRunReport> ends;
    for (const RunCommand& command : started) {
      ends.push_back(MakeEnd(++ends_, command.task, command.run, how));
      ends.back().checkpoint = checkpoint;
    }
    Report("h", {}, ends);
  }

  std::int64_t ends_ = 0;
};

TEST_CASE("short tasks are delegated once no VM will have room for them") {
  HomeFixture home;
  CHECK(home.Tick().empty());
  const std::vector<TaskRef> tasks = home.Tick();
  CHECK(tasks.size() == kTasks);
}

TEST_CASE("nothing is decided or written while nothing is short") {
  HomeFixture home;
  home.AddVm("b");
  for (int tick = 0; tick < 20; ++tick) CHECK(home.Tick().empty());
  CHECK(home.scheduler.DelegationsToSend(home.now).empty());
  CHECK(!home.scheduler.HasBatch());
}

TEST_CASE("a wide step is delegated in one message, once it is durable") {
  HomeFixture home(80);
  home.Tick();
  for (const TaskRef& task : home.Tick()) home.scheduler.Delegate(task, kHost);
  CHECK(home.scheduler.DelegationsToSend(home.now).empty());
  home.Flush();
  CHECK(home.Sent().tasks.size() == 80);
  // It is on its way.
  home.now = home.now + Millis(100);
  CHECK(home.scheduler.DelegationsToSend(home.now).empty());
}

TEST_CASE("dependent steps start once the journal holds the results") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host;
  const std::vector<RunCommand> started = host.HostAndStart(delegation);
  REQUIRE(CountStarts(started) == kTasks);
  host.End(started, RunEnd::kDone);
  // The host's journal comes first.
  CHECK(!host.Host(delegation).HasNews());
  host.Flush();
  const DelegationReport report = host.Host(delegation);
  REQUIRE(report.HasNews());
  CHECK(report.tasks[0].done);
  home.AddVm("b");
  home.HandOver(report);
  CHECK(CountStarts(home.Plan()) == 0);
  home.Flush();
  const std::vector<RunCommand> commands = home.Plan();
  REQUIRE(CountStarts(commands) == 1);
  CHECK(commands[0].task == TaskRef{kJob, 0, 1, 0});
}

TEST_CASE("a host keeps a result until the home cell has settled it") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host;
  host.End(host.HostAndStart(delegation), RunEnd::kDone);
  host.Flush();
  home.HandOver(host.Host(delegation));
  // A day later it still knows, and so does its successor.
  host.wall_ms += 86'400'000;
  host.Flush();
  CHECK(host.Host(delegation).tasks[0].done);
  auto next = host.TakeOver(10'001);
  next->MarkJournalComplete();
  CHECK(next->Host(delegation, host.wall_ms, host.now).tasks[0].done);
  CHECK(CountStarts(next->Plan(host.wall_ms, host.now)) == 0);
  // Nothing is said before the home cell's journal holds the result.
  CHECK(home.scheduler.DelegationsToSend(home.now).empty());
  home.Flush();
  const Delegation settlement = home.Sent();
  REQUIRE(settlement.tasks.size() == kTasks);
  CHECK(settlement.tasks[0].settled);
  CHECK(!host.Host(settlement).HasNews());
  host.Flush();
  const DelegationReport settled = host.Host(settlement);
  CHECK(settled.tasks[0].state == DelegationState::kSettled);
  home.HandOver(settled);
  home.now = home.now + Millis(2'000);
  CHECK(home.scheduler.DelegationsToSend(home.now).empty());
  // The host forgets it after a while.
  host.wall_ms += host.settings.ended_job_retention.count + 1;
  host.Flush();
  host.Flush();
  CHECK(!host.journal.contains(std::string("j") + kJob));
  CHECK(host.Host(settlement).tasks[0].state == DelegationState::kSettled);
  CHECK(!host.scheduler.HasBatch());
}

TEST_CASE("a late delegation never starts a finished task again") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host;
  host.End(host.HostAndStart(delegation), RunEnd::kDone);
  host.Flush();
  host.Host(delegation);
  host.Flush();
  CHECK(CountStarts(host.Plan()) == 0);
  home.HandOver(host.Host(delegation));
  home.Flush();
  host.Host(home.Sent());
  host.Flush();
  host.Host(delegation);
  host.Flush();
  CHECK(CountStarts(host.Plan()) == 0);
  auto next = host.TakeOver(10'001);
  next->MarkJournalComplete();
  next->Host(delegation, host.wall_ms, host.now);
  CHECK(CountStarts(next->Plan(host.wall_ms, host.now)) == 0);
}

TEST_CASE("a successor of the home owner gets the result that it lost") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host;
  host.End(host.HostAndStart(delegation), RunEnd::kDone);
  host.Flush();
  // The owner ends before it has written the result.
  home.HandOver(host.Host(delegation));
  auto next = home.TakeOver(10'001);
  next->MarkJournalComplete();
  const auto sent = next->DelegationsToSend(home.now);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.tasks.size() == kTasks);
  next->OnDelegationReport(kJob, kHost, host.Host(sent[0].second), home.now);
  home.Write(next->TakeBatch(home.wall_ms));
  // The next one settles it.
  auto last = home.TakeOver(20'001);
  last->MarkJournalComplete();
  const auto settlement = last->DelegationsToSend(home.now);
  REQUIRE(settlement.size() == 1);
  CHECK(settlement[0].second.tasks[0].settled);
}

TEST_CASE("failed runs count towards the attempts over all cells") {
  HomeFixture home(1);
  Delegation delegation = home.DelegateAll();
  HostFixture host;
  host.End(host.HostAndStart(delegation), RunEnd::kFailed);
  host.Flush();
  CHECK(!host.Host(delegation).HasNews());
  // One attempt is left; the host is asked to give the task back before it.
  delegation.tasks[0].recalled = true;
  host.Host(delegation);
  host.Flush();
  home.HandOver(host.Host(delegation));
  home.Flush();
  CHECK(home.scheduler.VisibleStateOf(kJob) != VisibleJobState::kFailed);
  home.now = home.now + home.settings.host_cooldown;
  const Delegation again = home.DelegateAll();
  const DelegatedTask& wanted = again.tasks.back();
  CHECK(wanted.failures == 1);
  HostFixture other;
  const std::vector<RunCommand> started = other.HostAndStart(again);
  REQUIRE(CountStarts(started) == 1);
  CHECK(started[0].run > 1);
  other.End(started, RunEnd::kFailed);
  other.Flush();
  CHECK(CountStarts(other.Plan()) == 0);
  const DelegationReport report = other.Host(again);
  CHECK(report.tasks.back().state == DelegationState::kReturned);
  CHECK(report.tasks.back().failures == 2);
  home.HandOver(report);
  home.Flush();
  CHECK(home.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
}

TEST_CASE("checkpoints travel to the host and back") {
  HomeFixture home(1);
  Delegation delegation = home.DelegateAll();
  delegation.tasks[0].checkpoint = "third";
  HostFixture host;
  const std::vector<RunCommand> started = host.HostAndStart(delegation);
  REQUIRE(CountStarts(started) == 1);
  CHECK(started[0].checkpoint == "third");
  RunningRunReport row;
  row.task = kFirst;
  row.run = started[0].run;
  row.checkpoint = "half";
  host.Report("h", {row});
  delegation.tasks[0].recalled = true;
  host.Host(delegation);
  host.Flush();
  host.now = host.now + Millis(200);
  CHECK(host.PlanAndConfirm().size() == 1);
  host.End(started, RunEnd::kStopped);
  host.Flush();
  home.HandOver(host.Host(delegation));
  home.Flush();
  home.AddVm("b");
  const std::vector<RunCommand> commands = home.Plan();
  REQUIRE(CountStarts(commands) == 1);
  CHECK(commands[0].checkpoint == "half");
}

TEST_CASE("a host without room returns a task before its job is late") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host(/*has_vm=*/false);
  host.Host(delegation);
  host.Flush();
  const Millis arrived = host.now;
  DelegationReport report = host.Host(delegation);
  while (!report.HasNews() && host.now < arrived + Millis(5'000)) {
    host.Plan();
    host.Flush();
    host.now = host.now + Millis(100);
    report = host.Host(delegation);
  }
  REQUIRE(report.HasNews());
  CHECK(!report.tasks[0].done);
  // Half of the slack of a job of 1 s: 1.5 times that, plus 250 ms.
  CHECK(host.now - arrived <= Millis(375));
  home.HandOver(report);
  home.Flush();
  CHECK(home.scheduler.CellToAvoid(kFirst, home.now) == kHost);
  CHECK(home.DelegateAll().tasks.size() >= kTasks);
}

TEST_CASE("a host returns tasks for which only closed VMs have room") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host;
  DataCenterClosures closures;
  closures.Close(host.listings[0].data_center, 1);
  host.scheduler.ApplyClosures(closures);
  host.Host(delegation);
  host.Flush();
  for (int tick = 0; tick < 3; ++tick) {
    CHECK(CountStarts(host.Plan()) == 0);
    host.Flush();
    host.now = host.now + Millis(100);
  }
  CHECK(host.Host(delegation).tasks[0].state == DelegationState::kReturned);
  CHECK(host.scheduler.Summary(host.now).rooms.empty());
}

TEST_CASE("cancelling a job takes its short tasks back") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  HostFixture host;
  const std::vector<RunCommand> started = host.HostAndStart(delegation);
  home.scheduler.Cancel(kJob, home.wall_ms);
  home.Flush();
  const Delegation recall = home.Sent();
  CHECK(recall.tasks[0].recalled);
  host.Host(recall);
  host.Flush();
  host.now = host.now + Millis(200);
  CHECK(host.PlanAndConfirm().size() == kTasks);
  host.End(started, RunEnd::kStopped);
  host.Flush();
  home.HandOver(host.Host(recall));
  home.Flush();
  const Delegation settlement = home.Sent();
  CHECK(settlement.tasks[0].settled);
  host.Host(settlement);
  host.Flush();
  home.HandOver(host.Host(settlement));
  home.Plan();
  home.Flush();
  CHECK(!home.journal.contains(std::string("p") + kJob));
  CHECK(home.scheduler.VisibleStateOf(kJob) == VisibleJobState::kCancelled);
}

// Guards against a task that counts as done in its home cell while a host runs
// it.
TEST_CASE("an end that the home cell's VM lists of a delegated task") {
  HomeFixture home;
  const Delegation delegation = home.DelegateAll();
  home.Report("a", {}, {home.MakeEnd(1, kFirst, 1, RunEnd::kDone)});
  HostFixture host;
  std::vector<RunCommand> others = host.HostAndStart(delegation);
  REQUIRE(CountStarts(others) == kTasks);
  std::erase_if(others, [](const RunCommand& c) { return c.task == kFirst; });
  host.End(others, RunEnd::kDone);
  host.Flush();
  home.AddVm("b");
  home.HandOver(host.Host(delegation));
  home.Flush();
  // The second step depends on all tasks of the first.
  CHECK(CountStarts(home.Plan()) == 0);
}
