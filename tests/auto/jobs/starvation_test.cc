#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

/// A job whose turn has come and that fits twice has a run after this time if
/// less than half of the processors are charged.
static constexpr Millis kMaxIdle(3'000);
static constexpr Millis kStepTime(100);
static constexpr Millis kLightRunTime(1'000);
static constexpr std::int64_t kTargetMs = 20;
static constexpr std::int64_t kBaselineMs = 8;
/// Factor by which a heavy run at full pace raises a tail latency.
static constexpr int kHeavySlowdown = 5;
static constexpr std::int64_t kBestEffortCpuMillis = 2'000;

/// Simulated VMs that run tasks with a tail latency target, if asked for, and
/// all best-effort tasks that the scheduler starts.
class BestEffortCell {
 public:
  explicit BestEffortCell(int vms) {
    for (int i = 0; i < vms; ++i) {
      ids_.push_back("vm" + std::to_string(i));
      fixture.AddVm(ids_.back());
    }
  }

  /// Starts a task with a tail latency target on each VM, whose tail latency is
  /// `tail_ms`.
  void StartServingTasks(std::int64_t tail_ms = kBaselineMs,
                         std::int64_t cpu_millis = 4'000) {
    serving_tail_ms_ = tail_ms;
    StepSpec serving =
        SchedulerFixture::MakeStep(static_cast<int>(ids_.size()), cpu_millis);
    serving.image = "report";
    serving.tail_target_ms = kTargetMs;
    serving.long_running = true;
    serving.max_per_vm = 1;
    fixture.Accept("serving", SchedulerFixture::MakeJob({serving}));
    Step();
    REQUIRE(RunsOf("serving") == static_cast<int>(ids_.size()));
  }

  /// Teaches the scheduler that best-effort runs of `image` raise tail
  /// latencies to `tail_ms`.
  void Train(const char* image, std::int64_t tail_ms) {
    VmListing listing;
    listing.capacity = {16'000, 64'000, 0};
    Vm vm(listing);
    RunOnVm serving;
    serving.tail_target_ms = kTargetMs;
    serving.image = "report";
    serving.measurement = tail_ms;
    vm.Add({{"served", 0, 0, 0}, 1}, serving);
    RunOnVm run;
    run.best_effort_cpu_millis = run.measurement = kBestEffortCpuMillis;
    run.image = image;
    vm.Add({{"batch", 0, 0, 0}, 1}, run);
    for (int i = 0; i < 40; ++i) {
      fixture.scheduler.Tails().Observe(vm, Millis(1'000 + 500 * i));
    }
  }

  /// Jobs are deferred once they have waited for part of `factor` run times.
  void SetObjective(double factor) {
    fixture.queue.objective_factor = factor;
    Catalog catalog;
    catalog.version = 2;
    catalog.queues = {fixture.queue};
    fixture.scheduler.ApplyCatalog(catalog);
  }

  /// Lets the runs of the job end at the next step.
  void End(const std::string& job) { ending_.insert(job); }

  void AcceptBestEffort(const std::string& id, const char* image, int count) {
    StepSpec step = SchedulerFixture::MakeStep(count, kBestEffortCpuMillis);
    step.image = image;
    step.best_effort = true;
    ++fixture.wall_ms;
    fixture.Accept(id, SchedulerFixture::MakeJob({step}));
  }

  /// Accepts a job with one task and, after that, `count` others.
  void AcceptWideningBestEffort(const std::string& id, int count) {
    StepSpec first = SchedulerFixture::MakeStep(1, kBestEffortCpuMillis);
    first.best_effort = true;
    StepSpec second = SchedulerFixture::MakeStep(count, kBestEffortCpuMillis);
    second.best_effort = true;
    second.dependencies = {0};
    ++fixture.wall_ms;
    fixture.Accept(id, SchedulerFixture::MakeJob({first, second}));
  }

  /// Advances the time, lets the scheduler plan, and reports all runs. Runs of
  /// jobs whose ids begin with "light" end after kLightRunTime.
  void Step() {
    fixture.now = fixture.now + kStepTime;
    for (const RunCommand& command : fixture.PlanAndConfirm()) {
      const RunKey key{command.task, command.run};
      if (command.kind == RunCommandKind::kStart) {
        runs_[command.vm][key] = fixture.now;
        paces.erase(command.task);
      }
      if (command.kind == RunCommandKind::kPace)
        paces[command.task] = command.percent;
      if (command.kind == RunCommandKind::kStop) runs_[command.vm].erase(key);
    }
    for (const std::string& id : ids_) ReportVm(id);
    fixture.Flush();
  }

  int RunsOf(const std::string& job) const {
    int count = 0;
    for (const auto& [vm, runs] : runs_) {
      for (const auto& [key, since] : runs) {
        if (key.first.job == job) ++count;
      }
    }
    return count;
  }

  /// Returns the highest number of best-effort runs on one VM.
  int MostBestEffortRunsOnVm() const {
    int most = 0;
    for (const auto& [vm, runs] : runs_) {
      const auto count = std::count_if(
          runs.begin(), runs.end(),
          [](const auto& run) { return run.first.first.job != "serving"; });
      most = std::max(most, static_cast<int>(count));
    }
    return most;
  }

  /// Lets the scheduler plan for this time.
  void Run(Millis duration) {
    const Millis end = fixture.now + duration;
    while (fixture.now < end) Step();
  }

  /// Whether a tail latency exceeds its target beside best-effort runs.
  bool IsHarming() const {
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto& vm) {
      return TailMs(vm.first) > kTargetMs;
    });
  }

  /// Whether a run of the job is at work.
  bool IsAtWork(const std::string& job) const {
    return RunsOf(job) > 0 &&
           std::none_of(paces.begin(), paces.end(), [&](const auto& pace) {
             return pace.first.job == job && pace.second == 0;
           });
  }

  /// Whether less than half of the processors are charged.
  bool IsHalfFree() const {
    const CellSummary summary = fixture.scheduler.Summary(fixture.now);
    return 2 * summary.free_cpu_millis > summary.capacity_cpu_millis;
  }

  SchedulerFixture fixture;
  std::map<TaskRef, int> paces;  ///< Newest pace commands.

 private:
  int PaceOf(const TaskRef& task) const {
    const auto found = paces.find(task);
    return found == paces.end() ? 100 : found->second;
  }

  /// Returns the tail latency on a VM; runs of jobs whose ids begin with
  /// "heavy" raise it.
  std::int64_t TailMs(const std::string& vm) const {
    int heavy_percent = 0;
    for (const auto& [key, since] : runs_.at(vm)) {
      if (key.first.job.starts_with("heavy"))
        heavy_percent += PaceOf(key.first);
    }
    return serving_tail_ms_ * (100 + (kHeavySlowdown - 1) * heavy_percent) /
           100;
  }

  void ReportVm(const std::string& id) {
    std::vector<RunningRunReport> running;
    std::vector<EndedRunReport> ended;
    for (auto it = runs_[id].begin(); it != runs_[id].end();) {
      const auto& [key, since] = *it;
      const bool light = key.first.job.starts_with("light");
      const bool over = light && fixture.now - since >= kLightRunTime;
      if (over || ending_.contains(key.first.job)) {
        ended.push_back(SchedulerFixture::MakeEnd(++last_end_[id], key.first,
                                                  key.second, RunEnd::kDone));
        it = runs_[id].erase(it);
        continue;
      }
      RunningRunReport row;
      row.task = key.first;
      row.run = key.second;
      row.percent = static_cast<int>((fixture.now - since).count / 1'000);
      row.measurement = key.first.job == "serving"
                            ? TailMs(id)
                            : kBestEffortCpuMillis * PaceOf(key.first) / 100;
      running.push_back(row);
      ++it;
    }
    fixture.Report(id, std::move(running), std::move(ended));
  }

  std::vector<std::string> ids_;
  std::int64_t serving_tail_ms_ = kBaselineMs;
  std::map<std::string, std::map<RunKey, Millis>> runs_;  ///< Start by VM.
  std::map<std::string, std::int64_t> last_end_;
  std::set<std::string> ending_;  ///< Jobs whose runs end.
};

TEST_CASE(
    "a best-effort job whose image no VM is open to waits without end while "
    "lighter ones run") {
  BestEffortCell cell(4);
  cell.StartServingTasks();
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  cell.Train("light", kBaselineMs);
  cell.AcceptBestEffort("heavy", "heavy", 8);
  int jobs = 0;
  for (int i = 0; i < 4; ++i)
    cell.AcceptBestEffort("light" + std::to_string(jobs++), "light", 4);
  const Millis start = cell.fixture.now;
  while (cell.RunsOf("heavy") == 0 && cell.fixture.now - start <= kMaxIdle) {
    cell.Step();
    REQUIRE(cell.IsHalfFree());
    cell.AcceptBestEffort("light" + std::to_string(jobs++), "light", 1);
  }
  CHECK(cell.RunsOf("heavy") >= 1);
}

TEST_CASE(
    "a deferred best-effort job waits without end while later jobs keep "
    "coming") {
  BestEffortCell cell(2);
  cell.SetObjective(2);
  int jobs = 0;
  const auto accept = [&](int count) {
    cell.AcceptBestEffort("light" + std::to_string(1'000 + jobs++), "light",
                          count);
  };
  // Both VMs are full of best-effort runs. The first to end make the mean run
  // time known.
  accept(16);
  cell.Step();
  cell.AcceptBestEffort("old", "light", 2);
  const Millis accepted = cell.fixture.now;
  const Millis deferred = accepted + kLightRunTime;
  while (cell.RunsOf("old") == 0 &&
         cell.fixture.now - accepted <= kMaxIdle * 2) {
    // More than the VMs can run. Each job is on time when it is started.
    if (cell.fixture.now >= deferred - kLightRunTime) accept(4);
    cell.Step();
    REQUIRE(cell.IsHalfFree());
  }
  CHECK(cell.fixture.now - accepted <= kMaxIdle);
  CHECK(cell.RunsOf("old") >= 1);
}

/// More jobs than relief runs may be at work at a time are late at once, and
/// the first of them has tasks enough to take all processors for long.
TEST_CASE("a late job with many tasks does not keep other late jobs waiting") {
  BestEffortCell cell(2);
  cell.SetObjective(2);
  cell.AcceptBestEffort("light-mean", "light", 16);
  cell.Run(kLightRunTime * 2);
  cell.AcceptBestEffort("light-before", "light", 16 * 3);
  cell.AcceptBestEffort("light-wide", "light", 200);
  std::set<std::string> waiting;
  for (int i = 0; i < 10; ++i) {
    const std::string id = "light-narrow" + std::to_string(i);
    cell.AcceptBestEffort(id, "light", 4);
    waiting.insert(id);
  }
  while (cell.RunsOf("light-wide") == 0) cell.Step();
  const Millis end = cell.fixture.now + kMaxIdle;
  while (cell.fixture.now < end) {
    cell.Step();
    REQUIRE(cell.IsHalfFree());
    std::erase_if(waiting, [&](const auto& id) { return cell.RunsOf(id) > 0; });
  }
  CHECK(waiting.empty());
}

TEST_CASE("a relief run starts at a low pace beside tasks that it disturbs") {
  BestEffortCell cell(4);
  cell.StartServingTasks();
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  cell.AcceptBestEffort("heavy", "heavy", 1);
  cell.Run(kMaxIdle);
  REQUIRE(cell.RunsOf("heavy") == 1);
  REQUIRE(cell.paces.size() == 1);
  const int pace_percent = cell.paces.begin()->second;
  CHECK(pace_percent > 0);
  CHECK(pace_percent < 50);
}

TEST_CASE("no relief run is started beside a tail latency near its target") {
  BestEffortCell cell(4);
  cell.StartServingTasks(kTargetMs * 9 / 10);
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  cell.AcceptBestEffort("heavy", "heavy", 1);
  cell.Run(kMaxIdle * 2);
  CHECK(cell.RunsOf("heavy") == 0);
}

TEST_CASE("relief runs keep working and keep no tail latency over its target") {
  static constexpr Millis kMaxHarm(4'000);
  const std::int64_t tail_ms = GENERATE(as<std::int64_t>{}, 8, 12);
  BestEffortCell cell(4);
  cell.StartServingTasks(tail_ms);
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  cell.AcceptBestEffort("heavy", "heavy", 1);
  Millis last_work = cell.fixture.now;
  Millis last_harmless = cell.fixture.now;
  const Millis end = cell.fixture.now + kMaxIdle * 10;
  while (cell.fixture.now < end) {
    cell.Step();
    if (cell.IsAtWork("heavy")) last_work = cell.fixture.now;
    if (!cell.IsHarming()) last_harmless = cell.fixture.now;
    REQUIRE(cell.fixture.now - last_work <= kMaxIdle);
    REQUIRE(cell.fixture.now - last_harmless < kMaxHarm);
  }
}

/// Serving tasks are charged for three quarters of the processors.
TEST_CASE("a busy cell starts fewer relief runs, and later") {
  BestEffortCell cell(20);
  cell.StartServingTasks(kBaselineMs, 12'000);
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  for (int i = 0; i < 20; ++i)
    cell.AcceptBestEffort("heavy" + std::to_string(i), "heavy", 1);
  const auto runs = [&] {
    int count = 0;
    for (int i = 0; i < 20; ++i)
      count += cell.RunsOf("heavy" + std::to_string(i));
    return count;
  };
  const ReliefLimits& limits = cell.fixture.settings.busy_relief;
  cell.Run(limits.delay - Millis(1'000));
  CHECK(runs() == 0);
  cell.Run(kMaxIdle);
  CHECK(runs() == limits.max_runs);
}

TEST_CASE("slow relief runs do not delay the deferral of later jobs") {
  BestEffortCell cell(2);
  cell.SetObjective(2);
  // Too high for a release, too low for throttling: the pace does not change.
  cell.StartServingTasks(kTargetMs * 7 / 10);
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  cell.AcceptBestEffort("light0", "light", 4);
  cell.Run(kLightRunTime * 2);
  cell.AcceptBestEffort("slow", "heavy", 1);
  cell.Run(kMaxIdle);
  REQUIRE(cell.RunsOf("slow") == 1);
  cell.Run(kLightRunTime * 20);
  cell.End("slow");
  cell.AcceptBestEffort("late", "heavy", 1);
  cell.Run(kLightRunTime);
  const auto waiting =
      cell.fixture.scheduler.OldestWaitingTask(true, cell.fixture.now);
  REQUIRE(waiting);
  CHECK(waiting->task.job == "late");
  CHECK(waiting->tier == JobTier::kDeferred);
}

TEST_CASE("a VM has one relief run at a time, and a waiting job one in all") {
  BestEffortCell cell(4);
  cell.StartServingTasks();
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  for (int i = 0; i < 6; ++i)
    cell.AcceptBestEffort("heavy" + std::to_string(i), "heavy", 4);
  cell.Run(kMaxIdle * 2);
  CHECK(cell.MostBestEffortRunsOnVm() == 1);
  for (int i = 0; i < 4; ++i)
    CHECK(cell.RunsOf("heavy" + std::to_string(i)) == 1);
}

TEST_CASE("a cell has a bounded number of relief runs at a time") {
  BestEffortCell cell(40);
  cell.StartServingTasks();
  cell.Train("heavy", kHeavySlowdown * kBaselineMs);
  for (int i = 0; i < 40; ++i)
    cell.AcceptBestEffort("heavy" + std::to_string(i), "heavy", 1);
  cell.Run(kMaxIdle * 2);
  int runs = 0;
  for (int i = 0; i < 40; ++i) runs += cell.RunsOf("heavy" + std::to_string(i));
  CHECK(runs == cell.fixture.settings.relief.max_runs);
}

TEST_CASE("each job that has begun has a run before older ones get more") {
  static constexpr int kJobs = 24;
  BestEffortCell cell(4);
  for (int i = 0; i < kJobs; ++i)
    cell.AcceptWideningBestEffort("light" + std::to_string(i), 1'000);
  cell.Run(kLightRunTime * 2);
  std::vector<Millis> last_run(kJobs, cell.fixture.now);
  Millis longest_idle;
  for (const Millis end = cell.fixture.now + Millis(20'000);
       cell.fixture.now < end;) {
    cell.Step();
    for (int i = 0; i < kJobs; ++i) {
      if (cell.RunsOf("light" + std::to_string(i)) > 0)
        last_run[i] = cell.fixture.now;
      longest_idle = std::max(longest_idle, cell.fixture.now - last_run[i]);
    }
  }
  CHECK(longest_idle < kMaxIdle);
}
