#include <catch2/catch.hpp>

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

  void StartServingTasks() {
    StepSpec serving =
        SchedulerFixture::MakeStep(static_cast<int>(ids_.size()), 4'000);
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
    Vm vm(listing, Millis(0));
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

  void AcceptBestEffort(const std::string& id, const char* image, int count) {
    StepSpec step = SchedulerFixture::MakeStep(count, kBestEffortCpuMillis);
    step.image = image;
    step.best_effort = true;
    ++fixture.wall_ms;
    fixture.Accept(id, SchedulerFixture::MakeJob({step}));
  }

  /// Advances the time, lets the scheduler plan, and reports all runs. Runs of
  /// jobs whose ids begin with "light" end after kLightRunTime.
  void Step() {
    fixture.now = fixture.now + kStepTime;
    for (const RunCommand& command : fixture.PlanAndConfirm()) {
      const RunKey key{command.task, command.run};
      if (command.kind == RunCommandKind::kStart)
        runs_[command.vm][key] = fixture.now;
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

  /// Whether less than half of the processors are charged.
  bool IsHalfFree() const {
    const CellSummary summary = fixture.scheduler.Summary(fixture.now);
    return 2 * summary.free_cpu_millis > summary.capacity_cpu_millis;
  }

  SchedulerFixture fixture;

 private:
  void ReportVm(const std::string& id) {
    std::vector<RunningRunReport> running;
    std::vector<EndedRunReport> ended;
    for (auto it = runs_[id].begin(); it != runs_[id].end();) {
      const auto& [key, since] = *it;
      const bool light = key.first.job.starts_with("light");
      if (light && fixture.now - since >= kLightRunTime) {
        ended.push_back(SchedulerFixture::MakeEnd(++last_end_[id], key.first,
                                                  key.second, RunEnd::kDone));
        it = runs_[id].erase(it);
        continue;
      }
      RunningRunReport row;
      row.task = key.first;
      row.run = key.second;
      row.percent = static_cast<int>((fixture.now - since).count / 1'000);
      row.measurement =
          key.first.job == "serving" ? kBaselineMs : kBestEffortCpuMillis;
      running.push_back(row);
      ++it;
    }
    fixture.Report(id, std::move(running), std::move(ended));
  }

  std::vector<std::string> ids_;
  std::map<std::string, std::map<RunKey, Millis>> runs_;  ///< Start by VM.
  std::map<std::string, std::int64_t> last_end_;
};

TEST_CASE(
    "a best-effort job whose image no VM is open to waits without end while "
    "lighter ones run",
    "[known-red]") {
  BestEffortCell cell(4);
  cell.StartServingTasks();
  cell.Train("heavy", 5 * kBaselineMs);
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
    "coming",
    "[known-red]") {
  BestEffortCell cell(2);
  cell.fixture.queue.objective_factor = 2;
  Catalog catalog;
  catalog.version = 2;
  catalog.queues = {cell.fixture.queue};
  cell.fixture.scheduler.ApplyCatalog(catalog);
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
         cell.fixture.now - accepted <= kMaxIdle + kMaxIdle) {
    // More than the VMs can run. Each job is on time when it is started.
    if (cell.fixture.now >= deferred - kLightRunTime) accept(4);
    cell.Step();
    REQUIRE(cell.IsHalfFree());
  }
  CHECK(cell.fixture.now - accepted <= kMaxIdle);
  CHECK(cell.RunsOf("old") >= 1);
}
