#include "lease/vm_supervisor.h"

#include <catch2/catch.hpp>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using infra::RunDirective;
using infra::RunStatus;
using infra::SyncReply;
using lease::VmSupervisor;
using lease::VmView;
using records::RunEnded;

static constexpr Millis kStart(1'000'000);

static VmView MakeView() {
  VmView view;
  view.vm = "vm";
  view.worker_address = "w";
  view.owned = view.may_renew = view.sole_renewer = true;
  view.capacity = {32'000, 125'000, 0};
  records::JobSpec job;
  job.id = "job";
  view.runs.push_back({{"job", 1}, job, "", false, job.resources});
  return view;
}

static SyncReply MakeReply(RunStatus status) {
  infra::RunReport report;
  report.run = {"job", 1};
  report.status = status;
  return {{report}};
}

static const Error kNoResponse{ErrorCode::kTimeout, "sync", "w", "no response"};

TEST_CASE("a renewal does not include the job of a running run") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  const VmView view = MakeView();
  const auto start = supervisor.NextSync(view, kStart, true);
  REQUIRE(start);
  CHECK(start->commands[0].job.id == "job");
  supervisor.OnSyncDone(MakeReply(RunStatus::kRunning), kStart);
  const auto renewal = supervisor.NextSync(view, kStart + Millis(1'000), true);
  REQUIRE(renewal);
  CHECK(renewal->commands[0].directive == RunDirective::kRun);
  CHECK(renewal->commands[0].job.id.empty());
  // If the worker does not have the run, the job is sent again without waiting
  // for the renewal interval.
  supervisor.OnSyncDone(MakeReply(RunStatus::kUnknown), kStart + Millis(1'010));
  const auto restart = supervisor.NextSync(view, kStart + Millis(1'020), true);
  REQUIRE(restart);
  CHECK(restart->commands[0].job.id == "job");
}

TEST_CASE("after a pause of the process runs are renewed but not started") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  const VmView view = MakeView();
  CHECK(!supervisor.NextSync(view, kStart, false));
  REQUIRE(supervisor.NextSync(view, kStart, true));
  supervisor.OnSyncDone(MakeReply(RunStatus::kRunning), kStart);
  CHECK(supervisor.NextSync(view, kStart + Millis(60'000), false));
}

TEST_CASE("lease expiry is recorded only after lease length and clock drift") {
  const lease::LeaseSettings settings;
  VmSupervisor supervisor{settings};
  const VmView view = MakeView();
  REQUIRE(supervisor.NextSync(view, kStart, true));
  supervisor.OnSyncDone(kNoResponse, kStart);
  const Millis suspended_at = kStart + settings.length;
  CHECK(!supervisor.NextSync(view, suspended_at, true));
  const auto has_end = [](const std::vector<records::RecordBody>& bodies) {
    for (const auto& body : bodies) {
      if (std::holds_alternative<RunEnded>(body)) return true;
    }
    return false;
  };
  const Millis expired_at =
      suspended_at + settings.length + settings.clock_drift;
  CHECK(!has_end(supervisor.NextRecords(view, expired_at - Millis(1))));
  VmView shared = view;
  shared.sole_renewer = false;
  CHECK(!supervisor.NextSync(shared, expired_at, true));
  CHECK(!has_end(supervisor.NextRecords(shared, expired_at)));
  // The entry is the sole renewer again: the waiting time starts over.
  CHECK(!supervisor.NextSync(view, expired_at, true));
  CHECK(!has_end(supervisor.NextRecords(view, expired_at)));
  const Millis second_expiry =
      expired_at + settings.length + settings.clock_drift;
  CHECK(has_end(supervisor.NextRecords(view, second_expiry)));
}

TEST_CASE("a superseded entry releases the VM only with no message in flight") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeView();
  REQUIRE(supervisor.NextSync(view, kStart, true));
  view.owned = false;
  CHECK(supervisor.NextRecords(view, kStart).empty());
  supervisor.OnSyncDone(kNoResponse, kStart);
  const auto bodies = supervisor.NextRecords(view, kStart);
  REQUIRE(bodies.size() == 1);
  CHECK(!std::get<records::VmReleased>(bodies[0]).stopping);
  CHECK(!supervisor.NextSync(view, kStart + Millis(5'000), true));
}

TEST_CASE("usage above the charge of a run is recorded once") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeView();
  view.runs[0].charged = {1'000, 1'000, 0};
  Millis now = kStart;
  const auto recorded_usages = [&](const records::Resources& usage) {
    now = now + Millis(1'000);
    REQUIRE(supervisor.NextSync(view, now, true));
    SyncReply reply = MakeReply(RunStatus::kRunning);
    reply.reports[0].usage = usage;
    supervisor.OnSyncDone(reply, now);
    std::vector<records::Resources> recorded;
    for (const auto& body : supervisor.NextRecords(view, now)) {
      const auto* record = std::get_if<records::RunUsage>(&body);
      if (record != nullptr) recorded.push_back(record->usage);
    }
    return recorded;
  };
  CHECK(recorded_usages({1'000, 1'000, 0}).empty());
  const records::Resources rounded{1'000, 1'280, 0};
  CHECK(recorded_usages({900, 1'100, 0}) == std::vector{rounded});
  CHECK(recorded_usages({900, 1'200, 0}).empty());
}

TEST_CASE("a usage record without visible effect is appended again") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeView();
  view.runs[0].charged = {1'000, 1'000, 0};
  REQUIRE(supervisor.NextSync(view, kStart, true));
  SyncReply reply = MakeReply(RunStatus::kRunning);
  reply.reports[0].usage = {1'000, 200'000, 0};
  supervisor.OnSyncDone(reply, kStart);
  CHECK(supervisor.NextRecords(view, kStart).size() == 1);
  CHECK(supervisor.NextRecords(view, kStart + Millis(4'000)).empty());
  CHECK(supervisor.NextRecords(view, kStart + Millis(6'000)).size() == 1);
  // The charge is capped at the capacity of the VM.
  view.runs[0].charged = {1'000, 125'000, 0};
  CHECK(supervisor.NextRecords(view, kStart + Millis(60'000)).empty());
}

static VmView MakeStandbyView() {
  VmView view = MakeView();
  view.owned = view.sole_renewer = false;
  view.standby = true;
  view.owner = "owner";
  view.owner_unreachable = true;
  view.renewers_version = 7;
  return view;
}

TEST_CASE("a standby renews for an unreachable owner and starts no run") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeStandbyView();
  view.owner_unreachable = false;
  CHECK(!supervisor.NextSync(view, kStart, true));
  view.owner_unreachable = true;
  const auto renewal = supervisor.NextSync(view, kStart, true);
  REQUIRE(renewal);
  CHECK(renewal->commands[0].job.id.empty());
  CHECK(renewal->recorded_ends.empty());
}

TEST_CASE("a standby that has released the VM does not renew") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeStandbyView();
  CHECK(supervisor.NextRecords(view, kStart).empty());
  view.marked_unreachable = true;
  REQUIRE(supervisor.NextRecords(view, kStart).size() == 1);
  CHECK(!supervisor.NextSync(view, kStart, true));
  // The release is void if the renewers had changed before it.
  view.renewers_version = 8;
  view.marked_unreachable = false;
  CHECK(supervisor.NextSync(view, kStart, true));
}
