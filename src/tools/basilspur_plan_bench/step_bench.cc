#include "basilspur_plan_bench/step_bench.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "jobs/scheduler.h"

namespace basilspur::plan_bench {

using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr std::int64_t kWallMs = 1'700'000'000'000;
static constexpr std::int64_t kMemoryMib = 10;
static constexpr std::int64_t kCpuMillis = 100;
static constexpr int kVmsPerRack = 16;
static constexpr int kPlansAfter = 20;
static constexpr Millis kPlanInterval(8);

/// A kind of step. All tasks are alike.
struct StepForm {
  const char* name;
  bool gang = false;
  bool has_limit = false;  ///< Of tasks per VM.
  bool rack_local = false;
  /// The VMs have room for twice the tasks, or for half of them.
  bool has_room = true;
};

static constexpr StepForm kForms[] = {
    {"plain", false, false, false, true},
    {"plain, limit per VM", false, true, false, true},
    {"plain, no room", false, true, false, false},
    {"gang", true, true, false, true},
    {"gang, no room", true, true, false, false},
    {"gang in a rack", true, true, true, true},
    {"gang in a rack, no room", true, true, true, false},
};

/// A cell whose only job has one step of a form.
class StepBench {
 public:
  StepBench(const StepForm& form, int tasks, int vms)
      : scheduler_(SchedulerSettings()) {
    QueueConfig queue;
    queue.name = "reports";
    queue.service = "workers";
    queue.attempts = 2;
    Catalog catalog;
    catalog.version = 1;
    catalog.queues = {queue};
    scheduler_.ApplyCatalog(catalog);
    // A rack has to hold all tasks of a gang that may not leave it.
    const int sharing = form.rack_local ? std::min(vms, kVmsPerRack) : vms;
    const int tasks_per_vm = 2 * tasks / sharing + 1;
    const int places = form.has_room ? tasks_per_vm : tasks / 2 / vms;
    for (int number = 0; number < vms; ++number) AddVm(number, places);
    StepSpec step;
    step.count = tasks;
    step.need = {kCpuMillis, kMemoryMib, 0};
    step.image = "image";
    step.gang = form.gang;
    step.rack_local = form.rack_local;
    if (form.has_limit) step.max_per_vm = tasks_per_vm;
    JobSpec spec;
    spec.payload = "work";
    spec.steps = {step};
    scheduler_.Submit("job", queue, spec, kWallMs, now_);
    scheduler_.OnDurable(scheduler_.TakeBatch(kWallMs));
  }

  /// Returns how long a plan takes, in ms.
  double Plan() {
    now_ = now_ + kPlanInterval;
    const auto before = std::chrono::steady_clock::now();
    starts_ += static_cast<int>(scheduler_.Plan(kWallMs, now_).size());
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - before;
    return took.count();
  }
  int Starts() const { return starts_; }

 private:
  void AddVm(int number, int places) {
    VmListing listing;
    listing.id = "vm" + std::to_string(number);
    listing.address = listing.id + ":1";
    listing.service = "workers";
    listing.rack = "rack" + std::to_string(number / kVmsPerRack);
    listing.capacity = {places * kCpuMillis, 64'000, 0};
    scheduler_.UpsertVm(listing, now_);
    VmReport report;
    report.clock_ms = now_.count;
    scheduler_.OnReport(listing.id, report, now_, now_);
  }

  Scheduler scheduler_;
  Millis now_{1'000};
  int starts_ = 0;
};

void MeasureLargeSteps(int most_tasks, int most_vms) {
  std::printf("%-24s %6s %5s %10s %10s %10s %7s\n", "step", "tasks", "VMs",
              "first ms", "median ms", "most ms", "starts");
  for (const StepForm& form : kForms) {
    for (const int tasks : {100, 1'000, 10'000}) {
      for (const int vms : {66, 300, 1'000}) {
        if (tasks > most_tasks || vms > most_vms) continue;
        StepBench bench(form, tasks, vms);
        const double first = bench.Plan();
        std::vector<double> later;
        for (int plan = 0; plan < kPlansAfter; ++plan)
          later.push_back(bench.Plan());
        std::sort(later.begin(), later.end());
        std::printf("%-24s %6d %5d %10.2f %10.2f %10.2f %7d\n", form.name,
                    tasks, vms, first, later[later.size() / 2], later.back(),
                    bench.Starts());
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace basilspur::plan_bench
