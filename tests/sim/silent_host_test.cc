#include <catch2/catch.hpp>
#include <string>

#include "sim/simulated_cell.h"

using namespace basilspur;       // NOLINT(google-build-using-namespace)
using namespace basilspur::sim;  // NOLINT(google-build-using-namespace)

static constexpr int kNodes = 4;
static constexpr int kCells = 2;
static constexpr std::uint64_t kSeeds = 20;
static constexpr int kFullSpeed = 100;
static constexpr Millis kNoDelay(0);
static constexpr int kTasks = 4;
/// A VM has room for two of them.
static constexpr std::int64_t kTaskCpuMillis = 3'500;
/// A caller may ask the silent entry first, and waits 3 s for it each time.
static constexpr Millis kMaxCancelTime(20'000);
/// The users' pages: a run of a cancelled job ends within `cancel_ms`, 3 to 4
/// s, and `stop_ms`, up to 900 ms, which simulated VMs use.
static constexpr Millis kMaxRunAfterCancel(3'900);

/// A job of long-running tasks, two of which the second cell hosts.
struct HostedTasks {
  explicit HostedTasks(std::uint64_t seed) : cell(seed, kNodes, kCells) {
    cell.ListVm(cell.StartVm("a", kFullSpeed, 0), kNoDelay);
    cell.ListVm(cell.StartVm("b", kFullSpeed, 1), kNoDelay);
    REQUIRE(cell.RunUntil([&] { return cell.IsOwnerReady(); }, Millis(8'000)));
    cell.RunFor(Millis(2'500));
    int number = 0;
    while (CellOfJob("job" + std::to_string(number), kCells) != 0) ++number;
    job = "job" + std::to_string(number);
    jobs::JobSpec spec;
    spec.payload = "0";
    jobs::StepSpec& step = spec.steps.emplace_back();
    step.count = kTasks;
    step.need = {kTaskCpuMillis, 500, 0};
    step.long_running = true;
    cell.Submit(job, spec);
    REQUIRE(
        cell.RunUntil([&] { return CountRunning() == kTasks; }, Millis(5'000)));
    home = cell.Owner(0);
    host = cell.Owner(1);
  }

  int CountRunning() {
    int running = 0;
    for (int index = 0; index < kTasks; ++index)
      running += cell.Checker().IsRunning({job, 0, 0, index}) ? 1 : 0;
    return running;
  }

  void Cancel() {
    cell.Cancel(job);
    REQUIRE(cell.RunUntil([&] { return cell.Checker().IsCancelled(job); },
                          kMaxCancelTime));
  }

  /// The other entries reach the host's owner again, and all is returned.
  void CheckAfterSilence() {
    cell.Faults(host) = LinkFaults();
    cell.RunFor(Millis(5'000));
    cell.CheckAfterCalm();
    CHECK(cell.Checker().Violations().empty());
  }

  std::string Report() {
    std::string text;
    for (const std::string& line : cell.Events().Lines()) text += line + "\n";
    return text;
  }

  SimulatedCell cell;
  std::string job;
  int home = -1;
  int host = -1;
};

template <class Check>
static void ForEachCase(Check check) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    for (const Millis silence : {Millis(0), Millis(500), Millis(4'000)}) {
      CAPTURE(seed, silence.count);
      HostedTasks tasks(seed);
      // One process has nobody to be cut off from.
      if (tasks.home != tasks.host) check(tasks, silence);
    }
  }
}

// UNASKED: the recall was a request to the host cell's owner alone.
TEST_CASE("hosted tasks of a cancelled job end while their host is cut off") {
  ForEachCase([](HostedTasks& tasks, Millis silence) {
    // It still renews its ownership in the store, and its VMs' leases.
    tasks.cell.Faults(tasks.host).peers_cut = true;
    tasks.cell.RunFor(silence);
    tasks.Cancel();
    tasks.cell.RunFor(kMaxRunAfterCancel);
    INFO(tasks.Report());
    CHECK(tasks.cell.Owner(1) == tasks.host);
    CHECK(tasks.CountRunning() == 0);
    tasks.CheckAfterSilence();
  });
}

// UNASKED: the host's owner read each request after its sender had given up.
TEST_CASE(
    "hosted tasks of a cancelled job end while their host reads its requests "
    "late") {
  ForEachCase([](HostedTasks& tasks, Millis silence) {
    tasks.cell.Faults(tasks.host).request_wait = Millis(6'000);
    tasks.cell.RunFor(silence);
    tasks.Cancel();
    tasks.cell.RunFor(kMaxRunAfterCancel);
    INFO(tasks.Report());
    CHECK(tasks.CountRunning() == 0);
    tasks.cell.RunFor(Millis(6'000));
    tasks.CheckAfterSilence();
  });
}

// UNASKED: the recall of a job whose home changes its owner is published again.
TEST_CASE(
    "hosted tasks of a cancelled job end while their host is cut off and the "
    "home cell changes its owner") {
  ForEachCase([](HostedTasks& tasks, Millis silence) {
    tasks.cell.Faults(tasks.host).peers_cut = true;
    tasks.cell.RunFor(silence);
    tasks.Cancel();
    tasks.cell.KillNode(tasks.home);
    INFO(tasks.Report());
    // The successor counts from 2.2 s after the last renewal on.
    CHECK(tasks.cell.RunUntil([&] { return tasks.CountRunning() == 0; },
                              Millis(3'000) + kMaxRunAfterCancel));
    tasks.CheckAfterSilence();
  });
}

// LOST: a host that stops what its home does not confirm would end these.
TEST_CASE("hosted tasks run on while their host is cut off for long") {
  ForEachCase([](HostedTasks& tasks, Millis silence) {
    tasks.cell.Faults(tasks.host).peers_cut = true;
    tasks.cell.RunFor(Millis(15'000) + silence);
    INFO(tasks.Report());
    CHECK(tasks.CountRunning() == kTasks);
    for (int index = 0; index < kTasks; ++index)
      CHECK(tasks.cell.Checker().StartsOf({tasks.job, 0, 0, index}) == 1);
    tasks.CheckAfterSilence();
  });
}
