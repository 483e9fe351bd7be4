// Measures plans of a scheduler: with 100 VMs that are full and 1,000 tasks
// that wait, with and without starts planned for large tasks; and with a job of
// many tasks. Sizes: basilspur_plan_bench [MOST-TASKS [MOST-VMS]].

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "basilspur_plan_bench/step_bench.h"
#include "jobs/scheduler.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr int kVms = 100;
static constexpr int kWaitingTasks = 1'000;
static constexpr int kTasksOfJob = 10;
static constexpr int kLargeJobEvery = 10;
static constexpr int kPlans = 2'000;
static constexpr Millis kPlanInterval(8);
static constexpr std::int64_t kWallMs = 1'700'000'000'000;
static constexpr std::int64_t kVmCpuMillis = 16'000;
static constexpr std::int64_t kSmallCpuMillis = 2'000;
static constexpr std::int64_t kLargeCpuMillis = 12'000;
static constexpr int kImages = 18;

namespace {

class PlanBench {
 public:
  explicit PlanBench(int max_planned_starts)
      : scheduler_(MakeSettings(max_planned_starts)) {
    queue_.name = "reports";
    queue_.service = "workers";
    queue_.attempts = 2;
    Catalog catalog;
    catalog.version = 1;
    catalog.queues = {queue_};
    scheduler_.ApplyCatalog(catalog);
    for (int number = 0; number < kVms; ++number) AddVm(number);
    Flush();
    FillVms();
    EndOneRun();
    for (int waiting = 0; waiting < kWaitingTasks; waiting += kTasksOfJob)
      Submit(waiting / kTasksOfJob % kLargeJobEvery == 0 ? kLargeCpuMillis
                                                         : kSmallCpuMillis);
    Flush();
    // The place that became free is taken, so all later plans start nothing.
    scheduler_.Plan(kWallMs, now_);
  }

  /// Returns the times of plans in us, in ascending order.
  std::vector<double> Measure() {
    std::vector<double> times;
    for (int plan = 0; plan < kPlans; ++plan) {
      now_ = now_ + kPlanInterval;
      const auto before = std::chrono::steady_clock::now();
      scheduler_.Plan(kWallMs, now_);
      const std::chrono::duration<double, std::micro> took =
          std::chrono::steady_clock::now() - before;
      times.push_back(took.count());
    }
    std::sort(times.begin(), times.end());
    return times;
  }

 private:
  static SchedulerSettings MakeSettings(int max_planned_starts) {
    SchedulerSettings settings;
    settings.max_planned_starts = max_planned_starts;
    settings.stall_timeout = Millis(1'000'000);
    settings.start_retry_interval = Millis(1'000'000);
    return settings;
  }

  void AddVm(int number) {
    VmListing listing;
    listing.id = "vm" + std::to_string(number);
    listing.address = listing.id + ":1";
    listing.service = queue_.service;
    listing.capacity = {kVmCpuMillis, 64'000, 0};
    scheduler_.UpsertVm(listing, now_);
    VmReport report;
    report.clock_ms = now_.count;
    scheduler_.OnReport(listing.id, report, now_, now_);
  }

  void Flush() { scheduler_.OnDurable(scheduler_.TakeBatch(kWallMs)); }

  void Submit(std::int64_t cpu_millis) {
    StepSpec step;
    step.count = kTasksOfJob;
    step.need = {cpu_millis, 1'000, 0};
    step.image = "image" + std::to_string(jobs_ % kImages);
    JobSpec spec;
    spec.payload = "work";
    spec.steps = {step};
    scheduler_.Submit("job" + std::to_string(jobs_++), queue_, spec, kWallMs,
                      now_);
  }

  void FillVms() {
    const auto tasks = static_cast<int>(kVms * kVmCpuMillis / kSmallCpuMillis);
    for (int task = 0; task < tasks; task += kTasksOfJob)
      Submit(kSmallCpuMillis);
    Flush();
    started_ = scheduler_.Plan(kWallMs, now_);
    for (const RunCommand& command : started_) {
      scheduler_.OnCommandOutcome(command, RunCommandOutcome::kDone, now_.count,
                                  now_, now_);
    }
  }

  /// Lets a run of each image end, so that all run times are known.
  void EndOneRun() {
    now_ = now_ + Millis(1'000);
    for (int image = 0; image < kImages; ++image) {
      const RunCommand& command = started_[image * kTasksOfJob];
      VmReport report;
      report.clock_ms = now_.count;
      for (const RunCommand& other : started_) {
        if (other.vm != command.vm || other.task == command.task) continue;
        RunningRunReport row;
        row.task = other.task;
        row.run = other.run;
        report.running.push_back(row);
      }
      EndedRunReport row;
      row.number = ++ends_[command.vm];
      row.task = command.task;
      row.run = command.run;
      row.end = RunEnd::kDone;
      report.ended.push_back(row);
      scheduler_.OnReport(command.vm, report, now_, now_);
    }
    Flush();
  }

  Scheduler scheduler_;
  QueueConfig queue_;
  std::vector<RunCommand> started_;
  std::map<std::string, std::int64_t> ends_;
  int jobs_ = 0;
  Millis now_{1'000};
};

}  // namespace

int main(int argc, char** argv) {
  const int most_tasks = argc > 1 ? std::atoi(argv[1]) : 10'000;
  const int most_vms = argc > 2 ? std::atoi(argv[2]) : 1'000;
  for (const int max_planned_starts : {0, 4, 0, 4}) {
    const std::vector<double> times = PlanBench(max_planned_starts).Measure();
    std::printf(
        "planned starts at most %d: plan median %.0f us, 99%% %.0f us, "
        "maximum %.0f us\n",
        max_planned_starts, times[times.size() / 2],
        times[times.size() * 99 / 100], times.back());
  }
  plan_bench::MeasureLargeSteps(most_tasks, most_vms);
  return 0;
}
