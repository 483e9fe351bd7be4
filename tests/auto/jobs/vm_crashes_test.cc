#include <catch2/catch.hpp>

#include "auto/jobs/scheduler_fixture.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static const std::string kJob(16, 'a');
static constexpr int kVms = 4;
static constexpr Millis kTimeToRestart(3'200);
static constexpr Millis kTick(100);
/// After three crashes a task may be started twice again, and no more.
static constexpr int kMaxStarts = 5;

/// VMs whose workers end when a run of the crashing job starts there.
class CrashingVms {
 public:
  explicit CrashingVms(SchedulerFixture& fixture) : fixture_(fixture) {
    for (int vm = 0; vm < kVms; ++vm) Add();
  }

  /// Starts what waits, and lets the crashes of `job` follow. Returns the
  /// number of its starts.
  int StartAndCrash(const std::string& job) {
    int starts = 0;
    for (const RunCommand& command : fixture_.PlanAndConfirm()) {
      if (command.kind != RunCommandKind::kStart) continue;
      if (command.task.job != job) continue;
      ++starts;
      Restart(command.vm);
    }
    fixture_.now = fixture_.now + kTick;
    fixture_.Flush();
    return starts;
  }

  /// The VM's worker ends and starts again.
  void Restart(const std::string& vm) {
    fixture_.scheduler.OnVmUnreachable(vm, VmOutage::kDisconnected,
                                       fixture_.now);
    fixture_.now = fixture_.now + kTimeToRestart;
    fixture_.scheduler.OnVmRestarted(vm, fixture_.now);
    fixture_.scheduler.UnlistVm(vm);
    Add();
  }

 private:
  void Add() { fixture_.AddVm("vm" + std::to_string(count_++)); }

  SchedulerFixture& fixture_;
  int count_ = 0;
};

TEST_CASE("a task that crashes each VM that starts it is not started forever",
          "[.][known-red]") {
  SchedulerFixture fixture;
  CrashingVms vms(fixture);
  fixture.Accept(kJob, fixture.MakeJob({fixture.MakeStep(1, 1'000)}));
  int starts = 0;
  for (int round = 0; round < 20; ++round) starts += vms.StartAndCrash(kJob);
  CHECK(starts >= 2);
  CHECK(starts <= kMaxStarts);
  CHECK(fixture.scheduler.VisibleStateOf(kJob) == VisibleJobState::kFailed);
}
