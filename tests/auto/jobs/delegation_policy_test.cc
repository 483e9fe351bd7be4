#include "jobs/delegation_policy.h"

#include <catch2/catch.hpp>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr char kService[] = "workers";
static constexpr std::int64_t kNeed = 4'000;

struct PolicyFixture {
  PolicyFixture() {
    step.count = 10;
    step.need = {kNeed, 1'000, 0};
  }
  std::optional<Millis> DelayOf(std::optional<Millis> max_wait = std::nullopt) {
    return DelegationPolicy(settings).DelayOf(step, kService, capacity,
                                              max_wait);
  }

  SchedulerSettings settings;
  StepSpec step;
  CellCapacity capacity{{{kService, {kNeed, 64'000, 0}}}};
};

TEST_CASE("a task that no VM will have room for is delegated at once") {
  PolicyFixture fixture;
  fixture.capacity.vms[0].beside_long_running.cpu_millis = kNeed - 1;
  CHECK(fixture.DelayOf() == fixture.settings.min_delegation_delay);
  fixture.capacity.vms.clear();
  CHECK(fixture.DelayOf() == fixture.settings.min_delegation_delay);
  // VMs of another service don't count.
  fixture.capacity.vms = {{"other", {kNeed, 64'000, 0}}};
  CHECK(fixture.DelayOf() == fixture.settings.min_delegation_delay);
}

TEST_CASE("a task that short tasks keep out waits for a part of its slack") {
  PolicyFixture fixture;
  CHECK(fixture.DelayOf(Millis(600)) == Millis(300));
  CHECK(fixture.DelayOf(Millis(0)) == fixture.settings.min_delegation_delay);
  CHECK(fixture.DelayOf(Millis(9'000)) == fixture.settings.delegation_delay);
  CHECK(fixture.DelayOf() == fixture.settings.delegation_delay);
}

TEST_CASE("a best-effort task leaves its cell only if no VM accepts work") {
  PolicyFixture fixture;
  fixture.step.best_effort = true;
  CHECK(!fixture.DelayOf());
  fixture.capacity.vms.clear();
  CHECK(fixture.DelayOf() == fixture.settings.min_delegation_delay);
}

TEST_CASE("gangs stay in their cell") {
  PolicyFixture fixture;
  fixture.capacity.vms.clear();
  fixture.step.gang = true;
  CHECK(!fixture.DelayOf());
}

/// Tasks that require a label stayed in a cell none of whose VMs had it.
TEST_CASE("a task is delegated at once if no VM with its label has room") {
  PolicyFixture fixture;
  fixture.step.required_label = "disk";
  CHECK(fixture.DelayOf() == fixture.settings.min_delegation_delay);
  const bool by_kind = GENERATE(true, false);
  CellCapacity::Vm& vm = fixture.capacity.vms[0];
  (by_kind ? vm.kind : vm.rack) = "disk";
  CHECK(fixture.DelayOf() == fixture.settings.delegation_delay);
  fixture.capacity.vms[0].beside_long_running.cpu_millis = kNeed - 1;
  CHECK(fixture.DelayOf() == fixture.settings.min_delegation_delay);
}
