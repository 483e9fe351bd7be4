#include "jobs/admission_policy.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "jobs/queue_outlook.h"
#include "jobs/retry_after.h"

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::jobs;  // NOLINT(google-build-using-namespace)

static constexpr Millis kStart(100'000);
static constexpr Millis kKnown = kStart + Millis(15'000);
static constexpr char kService[] = "workers";

static AdmissionPolicy::Vms MakeVms() {
  AdmissionPolicy::Vms vms;
  for (const char* id : {"a", "b"}) {
    VmListing& vm = vms[id];
    vm.id = id;
    vm.service = kService;
    vm.kind = "fast";
    vm.rack = std::string("rack-") + id;
    vm.capacity = {32'000, 125'000, 0};
  }
  vms["other"].service = "other";
  vms["other"].kind = "gpu";
  vms["other"].capacity = {96'000, 500'000, 0};
  return vms;
}

static JobSpec MakeJob(std::int64_t cpu_millis, const std::string& label = "") {
  JobSpec spec;
  spec.steps.resize(2);
  for (StepSpec& step : spec.steps) {
    step.count = 1;
    step.need = {1'000, 500, 0};
  }
  spec.steps[1].need.cpu_millis = cpu_millis;
  spec.steps[1].required_label = label;
  return spec;
}

static AdmissionPolicy MakePolicy() {
  AdmissionPolicy policy;
  policy.OnListStarted(kStart);
  policy.OnNewVm(kStart + Millis(300));
  return policy;
}

TEST_CASE("a job that no listed VM of its service can serve is refused") {
  AdmissionPolicy policy = MakePolicy();
  const auto check = [&](const JobSpec& spec) {
    return policy.Check(kService, spec, MakeVms(), kKnown);
  };
  CHECK(!check(MakeJob(32'000)));
  CHECK(check(MakeJob(32'001)) == AdmissionRefusal::kTooLarge);
  CHECK(!check(MakeJob(1'000, "rack-b")));
  CHECK(check(MakeJob(1'000, "gpu")) == AdmissionRefusal::kMissingLabel);
  JobSpec best_effort = MakeJob(40'000);
  best_effort.steps[1].best_effort = true;
  CHECK(!check(best_effort));
  CHECK(policy.Counts().too_large == 1);
  CHECK(policy.Counts().missing_label == 1);
}

/// A gang of tasks that need 8 cores each: the VMs hold 8 of them.
static JobSpec MakeGang(int count) {
  JobSpec spec = MakeJob(8'000);
  spec.steps[1].count = count;
  spec.steps[1].gang = true;
  return spec;
}

// LOST: a gang that can never start was accepted and waited for ever.
TEST_CASE("a gang that all listed VMs together can't hold is refused") {
  AdmissionPolicy policy = MakePolicy();
  const auto check = [&](const JobSpec& spec) {
    return policy.Check(kService, spec, MakeVms(), kKnown);
  };
  CHECK(!check(MakeGang(8)));
  CHECK(check(MakeGang(9)) == AdmissionRefusal::kGangTooLarge);
  CHECK(policy.Counts().gang_too_large == 1);
  JobSpec limited = MakeGang(8);
  limited.steps[1].max_per_vm = 3;
  CHECK(check(limited) == AdmissionRefusal::kGangTooLarge);
  JobSpec on_rack = MakeGang(5);
  on_rack.steps[1].required_label = "rack-a";
  CHECK(check(on_rack) == AdmissionRefusal::kGangTooLarge);
  JobSpec no_gang = MakeGang(100);
  no_gang.steps[1].gang = false;
  CHECK(!check(no_gang));
}

TEST_CASE("no gang is refused while VMs may be replaced") {
  AdmissionPolicy policy = MakePolicy();
  policy.OnVmGone(kKnown - Millis(1'000));
  CHECK(!policy.Check(kService, MakeGang(9), MakeVms(), kKnown));
  CHECK(
      policy.Check(kService, MakeGang(9), MakeVms(), kKnown + Millis(60'000)) ==
      AdmissionRefusal::kGangTooLarge);
}

TEST_CASE("a VM counts while it is listed, even if it drains") {
  AdmissionPolicy policy = MakePolicy();
  AdmissionPolicy::Vms vms = MakeVms();
  for (auto& [id, vm] : vms) vm.draining = true;
  CHECK(!policy.Check(kService, MakeJob(32'000), vms, kKnown));
}

TEST_CASE("no job is refused while the fleet is not known in full") {
  AdmissionPolicy policy;
  const JobSpec large = MakeJob(64'000);
  CHECK(!policy.Check(kService, large, MakeVms(), kKnown));
  policy.OnListStarted(kStart);
  CHECK(!policy.Check(kService, large, MakeVms(), kStart + Millis(3'000)));
  CHECK(policy.Check(kService, large, MakeVms(), kKnown));
  // VMs that are being listed may be larger.
  policy.OnNewVm(kKnown);
  CHECK(!policy.Check(kService, large, MakeVms(), kKnown + Millis(1'000)));
  CHECK(!policy.Check("unlisted", large, MakeVms(), kKnown + Millis(9'000)));
  // After the list was stopped, it is read anew.
  policy.OnListStarted(kKnown + Millis(9'000));
  CHECK(!policy.Check(kService, large, MakeVms(), kKnown + Millis(12'000)));
}

TEST_CASE("Retry-After is a whole second at least and spreads the callers") {
  for (const Millis wait :
       {Millis(-5), Millis(0), Millis(900), Millis(9'100)}) {
    std::set<std::int64_t> seen;
    for (int job = 0; job < 200; ++job) {
      const std::int64_t seconds =
          RetryAfterSeconds("job" + std::to_string(job), wait);
      CHECK(seconds >= 1);
      CHECK(seconds * 1'000 >= wait.count);
      seen.insert(seconds);
    }
    CHECK(seen.size() >= 2);
  }
  CHECK(RetryAfterSeconds("job", Millis(0)) ==
        RetryAfterSeconds("job", Millis(0)));
}

TEST_CASE("the wait for room grows with the queue") {
  QueueOutlook outlook;
  for (int end = 0; end < 200; ++end)
    outlook.OnJobEnded(kStart + Millis(end * 50));
  const Millis now = kStart + Millis(9'990);
  const Millis few = outlook.RoomIn(1'000, now);
  const Millis many = outlook.RoomIn(4'000, now);
  CHECK(few > Millis(0));
  CHECK(many > few);
  // Once no job ends any more, callers are kept away for longer.
  CHECK(outlook.RoomIn(1'000, now + Millis(20'000)) > few);
}
