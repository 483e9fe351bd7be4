#include "jobs/tail_controller.h"

#include <catch2/catch.hpp>

#include "records/codec.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr std::int64_t kTargetMs = 20;
static constexpr std::int64_t kBaselineMs = 8;

static Vm MakeVm() {
  VmListing listing;
  listing.id = "vm";
  listing.capacity = {16'000, 64'000, 0};
  Vm vm(listing);
  RunOnVm serving;
  serving.charge = {8'000, 1'000, 0};
  serving.tail_target_ms = kTargetMs;
  serving.image = "report";
  serving.measurement = kBaselineMs;
  vm.Add({{"served", 0, 0, 0}, 1}, serving);
  return vm;
}

static const RunKey kServingRun{{"served", 0, 0, 0}, 1};
static const RunKey kBestEffortRun{{"batch", 0, 0, 0}, 1};

static void AddBestEffortRun(Vm& vm, const char* image) {
  RunOnVm run;
  run.best_effort_cpu_millis = 2'000;
  run.image = image;
  run.measurement = 2'000;
  run.confirmed = true;
  vm.Add(kBestEffortRun, run);
}

/// Lets the controller observe a VM on which `image` raises the tail latency to
/// `tail_ms`.
static void Train(TailController& controller, const char* image,
                  std::int64_t tail_ms) {
  Vm vm = MakeVm();
  AddBestEffortRun(vm, image);
  vm.FindRun(kServingRun)->measurement = tail_ms;
  for (int i = 0; i < 40; ++i) {
    controller.Observe(vm, Millis(1'000 + 500 * i));
  }
}

TEST_CASE("images that raise tail latencies are distinguished from others") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "heavy", 40);
  Train(controller, "light", kBaselineMs);
  const Vm vm = MakeVm();
  CHECK(controller.MaxPacePercent(vm, "heavy", 2'000) < 50);
  CHECK(controller.MaxPacePercent(vm, "light", 2'000) == 100);
}

TEST_CASE("a VM without serving runs accepts any image") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "heavy", 40);
  VmListing listing;
  listing.capacity = {16'000, 64'000, 0};
  const Vm vm(listing);
  CHECK(controller.MaxPacePercent(vm, "heavy", 2'000) == 100);
}

TEST_CASE("only the image that raises a tail latency is throttled") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "heavy", 40);
  Train(controller, "light", kBaselineMs);
  Vm vm = MakeVm();
  const char* image = GENERATE("heavy", "light");
  AddBestEffortRun(vm, image);
  vm.FindRun(kServingRun)->measurement = 40;
  controller.Observe(vm, Millis(30'000));
  controller.AdjustPaces(vm, Millis(30'000));
  const bool throttled = vm.FindRun(kBestEffortRun)->pace_percent < 100;
  CHECK(throttled == (std::string(image) == "heavy"));
}

TEST_CASE("all best-effort runs are paused after a long target violation") {
  TailControllerSettings settings;
  TailController controller{settings};
  Train(controller, "light", kBaselineMs);
  Vm vm = MakeVm();
  AddBestEffortRun(vm, "light");
  vm.FindRun(kServingRun)->measurement = 40;
  const Millis start(30'000);
  controller.Observe(vm, start);
  controller.AdjustPaces(vm, start);
  const Millis later = start + settings.max_time_over_target + Millis(100);
  controller.Observe(vm, later);
  controller.AdjustPaces(vm, later);
  CHECK(vm.FindRun(kBestEffortRun)->pace_percent == 0);
}

TEST_CASE("a throttled run is released once the tail latency is low") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "light", kBaselineMs);
  Vm vm = MakeVm();
  AddBestEffortRun(vm, "light");
  vm.FindRun(kBestEffortRun)->pace_percent = 0;
  controller.AdjustPaces(vm, Millis(30'000));
  CHECK(vm.FindRun(kBestEffortRun)->pace_percent == 100);
}

TEST_CASE("no run is placed on a VM whose tail latency exceeds its target") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "light", kBaselineMs);
  Vm vm = MakeVm();
  REQUIRE(controller.MaxPacePercent(vm, "light", 2'000) == 100);
  vm.FindRun(kServingRun)->measurement = kTargetMs + 1;
  controller.Observe(vm, Millis(30'000));
  CHECK(controller.MaxPacePercent(vm, "light", 2'000) == 0);
  vm.FindRun(kServingRun)->measurement = kBaselineMs;
  controller.Observe(vm, Millis(31'000));
  CHECK(controller.MaxPacePercent(vm, "light", 2'000) == 100);
}

/// Lets the controller observe tail latencies of `tail_ms` on a VM that also
/// executes runs of `image`.
static void ObserveTails(TailController& controller, const char* image,
                         std::int64_t tail_ms, int count) {
  Vm vm = MakeVm();
  AddBestEffortRun(vm, image);
  vm.FindRun(kServingRun)->measurement = tail_ms;
  for (int i = 0; i < count; ++i) {
    controller.Observe(vm, Millis(100'000 + 500 * i));
  }
}

TEST_CASE("baselines recover after a load peak while all VMs have light runs") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "light", kBaselineMs);
  // A load peak raises the tail latencies of VMs without best-effort runs for
  // seconds, and thus the baseline.
  Vm unshared = MakeVm();
  unshared.FindRun(kServingRun)->measurement = kBaselineMs * 3 / 2;
  for (int i = 0; i < 100; ++i) {
    controller.Observe(unshared, Millis(50'000 + 500 * i));
  }
  // Then the load is low again, but each VM has light runs. The baseline has to
  // follow the lower tail latencies, or no VM would accept further runs.
  ObserveTails(controller, "light", kBaselineMs * 3 / 4, 300);
  CHECK(controller.MaxPacePercent(MakeVm(), "medium", 3'000) == 100);
}

TEST_CASE(
    "a run with a negligible effect is placed despite a high tail latency") {
  TailController controller{TailControllerSettings{}};
  Train(controller, "light", kBaselineMs);
  Train(controller, "heavy", 16);
  Vm vm = MakeVm();
  AddBestEffortRun(vm, "heavy");
  CHECK(controller.MaxPacePercent(vm, "light", 200) == 100);
  CHECK(controller.MaxPacePercent(vm, "heavy", 2'000) < 100);
}

TEST_CASE("a new owner restores the estimates of the previous owner") {
  TailController before{TailControllerSettings{}};
  Train(before, "heavy", 40);
  Train(before, "light", kBaselineMs);
  const auto decoded =
      records::Decode<TailRecord>(records::Encode(before.MakeRecord()));
  REQUIRE(IsOk(decoded));
  TailController after{TailControllerSettings{}};
  REQUIRE(after.MaxPacePercent(MakeVm(), "heavy", 2'000) == 100);
  after.Restore(ValueOf(decoded));
  CHECK(after.MaxPacePercent(MakeVm(), "heavy", 2'000) < 50);
  CHECK(after.MaxPacePercent(MakeVm(), "light", 2'000) == 100);
  CHECK(after.MakeRecord().pairs.size() == before.MakeRecord().pairs.size());
}

TEST_CASE("estimates of another cell are used, but not exported as own ones") {
  TailController other{TailControllerSettings{}};
  Train(other, "heavy", 40);
  TailController controller{TailControllerSettings{}};
  controller.MergePeerRecord("1", other.MakeRecord());
  CHECK(controller.MaxPacePercent(MakeVm(), "heavy", 2'000) < 50);
  CHECK(controller.MakeRecord().pairs.empty());
}

TEST_CASE("a long target violation counts even if another image is worse now") {
  TailControllerSettings settings;
  TailController controller{settings};
  Train(controller, "light", kBaselineMs);
  Vm vm = MakeVm();
  const RunKey second{{"second", 0, 0, 0}, 1};
  RunOnVm serving;
  serving.tail_target_ms = kTargetMs;
  serving.image = "index";
  serving.measurement = kBaselineMs;
  vm.Add(second, serving);
  AddBestEffortRun(vm, "light");
  const Millis start(30'000);
  vm.FindRun(kServingRun)->measurement = kTargetMs + 1;
  controller.Observe(vm, start);
  const Millis later = start + settings.max_time_over_target + Millis(100);
  vm.FindRun(second)->measurement = 2 * kTargetMs;
  controller.Observe(vm, later);
  controller.AdjustPaces(vm, later);
  CHECK(vm.FindRun(kBestEffortRun)->pace_percent == 0);
}
