#include "jobs/tail_watch.h"

#include <catch2/catch.hpp>

#include "records/codec.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr std::int64_t kTargetMs = 20;
static constexpr std::int64_t kBaseMs = 8;

static Vm MakeVm() {
  VmListing listing;
  listing.id = "vm";
  listing.room = {16'000, 64'000, 0};
  Vm vm(listing, Millis(0));
  RunOnVm served;
  served.charge = {8'000, 1'000, 0};
  served.tail_target_ms = kTargetMs;
  served.image = "report";
  served.figure = kBaseMs;
  vm.Add({{"served", 0, 0, 0}, 1}, served);
  return vm;
}

static const RunKey kServed{{"served", 0, 0, 0}, 1};
static const RunKey kBatch{{"batch", 0, 0, 0}, 1};

static void AddBatch(Vm& vm, const char* image) {
  RunOnVm run;
  run.best_effort_cpu = 2'000;
  run.image = image;
  run.figure = 2'000;
  run.confirmed = true;
  vm.Add(kBatch, run);
}

/// Shows the watch a VM on which `image` raises the tail to `tail_ms`.
static void Teach(TailWatch& watch, const char* image, std::int64_t tail_ms) {
  Vm vm = MakeVm();
  AddBatch(vm, image);
  vm.FindRun(kServed)->figure = tail_ms;
  for (int i = 0; i < 40; ++i) {
    watch.Observe(vm, Millis(1'000 + 500 * i));
  }
}

TEST_CASE("an image that raises tails is told from one that does not") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "heavy", 40);
  Teach(watch, "light", kBaseMs);
  const Vm vm = MakeVm();
  CHECK(watch.PaceFor(vm, "heavy", 2'000) < 50);
  CHECK(watch.PaceFor(vm, "light", 2'000) == 100);
}

TEST_CASE("a VM without tails takes any image") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "heavy", 40);
  VmListing listing;
  listing.room = {16'000, 64'000, 0};
  const Vm vm(listing, Millis(0));
  CHECK(watch.PaceFor(vm, "heavy", 2'000) == 100);
}

TEST_CASE("the image that raises a tail is throttled, and another is not") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "heavy", 40);
  Teach(watch, "light", kBaseMs);
  Vm vm = MakeVm();
  const char* image = GENERATE("heavy", "light");
  AddBatch(vm, image);
  vm.FindRun(kServed)->figure = 40;
  watch.Observe(vm, Millis(30'000));
  watch.Pace(vm, Millis(30'000));
  const bool throttled = vm.FindRun(kBatch)->pace < 100;
  CHECK(throttled == (std::string(image) == "heavy"));
}

TEST_CASE("all best-effort runs yield once a tail has been over for long") {
  TailSettings settings;
  TailWatch watch{settings};
  Teach(watch, "light", kBaseMs);
  Vm vm = MakeVm();
  AddBatch(vm, "light");
  vm.FindRun(kServed)->figure = 40;
  const Millis began(30'000);
  watch.Observe(vm, began);
  watch.Pace(vm, began);
  const Millis later = began + settings.longest_over + Millis(100);
  watch.Observe(vm, later);
  watch.Pace(vm, later);
  CHECK(vm.FindRun(kBatch)->pace == 0);
}

TEST_CASE("a throttled run is released once the tail is low") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "light", kBaseMs);
  Vm vm = MakeVm();
  AddBatch(vm, "light");
  vm.FindRun(kBatch)->pace = 0;
  watch.Pace(vm, Millis(30'000));
  CHECK(vm.FindRun(kBatch)->pace == 100);
}

TEST_CASE("nothing comes in beside a tail that is over its target") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "light", kBaseMs);
  Vm vm = MakeVm();
  REQUIRE(watch.PaceFor(vm, "light", 2'000) == 100);
  vm.FindRun(kServed)->figure = kTargetMs + 1;
  watch.Observe(vm, Millis(30'000));
  CHECK(watch.PaceFor(vm, "light", 2'000) == 0);
  vm.FindRun(kServed)->figure = kBaseMs;
  watch.Observe(vm, Millis(31'000));
  CHECK(watch.PaceFor(vm, "light", 2'000) == 100);
}

/// Shows the watch tails of `tail_ms` beside runs of `image`.
static void ShowTails(TailWatch& watch, const char* image, std::int64_t tail_ms,
                      int count) {
  Vm vm = MakeVm();
  AddBatch(vm, image);
  vm.FindRun(kServed)->figure = tail_ms;
  for (int i = 0; i < count; ++i) {
    watch.Observe(vm, Millis(100'000 + 500 * i));
  }
}

TEST_CASE("a swing of load does not close all VMs once each has light runs") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "light", kBaseMs);
  // For seconds the load raises the tails of VMs with nothing beside them.
  Vm alone = MakeVm();
  alone.FindRun(kServed)->figure = kBaseMs * 3 / 2;
  for (int i = 0; i < 100; ++i) {
    watch.Observe(alone, Millis(50'000 + 500 * i));
  }
  // Then no VM is without light runs any more, and the load is low again.
  ShowTails(watch, "light", kBaseMs * 3 / 4, 300);
  CHECK(watch.PaceFor(MakeVm(), "medium", 3'000) == 100);
}

TEST_CASE("a run that adds next to nothing comes in beside a high tail") {
  TailWatch watch{TailSettings{}};
  Teach(watch, "light", kBaseMs);
  Teach(watch, "heavy", 16);
  Vm vm = MakeVm();
  AddBatch(vm, "heavy");
  CHECK(watch.PaceFor(vm, "light", 200) == 100);
  CHECK(watch.PaceFor(vm, "heavy", 2'000) < 100);
}

TEST_CASE("a new owner goes on from what the last one had learned") {
  TailWatch before{TailSettings{}};
  Teach(before, "heavy", 40);
  Teach(before, "light", kBaseMs);
  const auto told =
      records::Decode<TailRecord>(records::Encode(before.Learned()));
  REQUIRE(IsOk(told));
  TailWatch after{TailSettings{}};
  REQUIRE(after.PaceFor(MakeVm(), "heavy", 2'000) == 100);
  after.Restore(ValueOf(told));
  CHECK(after.PaceFor(MakeVm(), "heavy", 2'000) < 50);
  CHECK(after.PaceFor(MakeVm(), "light", 2'000) == 100);
  CHECK(after.Learned().pairs.size() == before.Learned().pairs.size());
}

TEST_CASE("what another cell has learned is used, and not told as one's own") {
  TailWatch other{TailSettings{}};
  Teach(other, "heavy", 40);
  TailWatch watch{TailSettings{}};
  watch.LearnFrom("1", other.Learned());
  CHECK(watch.PaceFor(MakeVm(), "heavy", 2'000) < 50);
  CHECK(watch.Learned().pairs.empty());
}

TEST_CASE("a tail is over for too long though another is the worst just now") {
  TailSettings settings;
  TailWatch watch{settings};
  Teach(watch, "light", kBaseMs);
  Vm vm = MakeVm();
  const RunKey second{{"second", 0, 0, 0}, 1};
  RunOnVm served;
  served.tail_target_ms = kTargetMs;
  served.image = "index";
  served.figure = kBaseMs;
  vm.Add(second, served);
  AddBatch(vm, "light");
  const Millis began(30'000);
  vm.FindRun(kServed)->figure = kTargetMs + 1;
  watch.Observe(vm, began);
  const Millis later = began + settings.longest_over + Millis(100);
  vm.FindRun(second)->figure = 2 * kTargetMs;
  watch.Observe(vm, later);
  watch.Pace(vm, later);
  CHECK(vm.FindRun(kBatch)->pace == 0);
}
