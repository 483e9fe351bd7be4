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

static const Error kNoAnswer{ErrorCode::kTimeout, "sync", "w", "no answer"};

TEST_CASE("a renewal names a run without its job") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  const VmView view = MakeView();
  const auto start = supervisor.NextSync(view, kStart, true);
  REQUIRE(start);
  CHECK(start->orders[0].job.id == "job");
  supervisor.OnSyncDone(MakeReply(RunStatus::kRunning), kStart);
  const auto renewal = supervisor.NextSync(view, kStart + Millis(1'000), true);
  REQUIRE(renewal);
  CHECK(renewal->orders[0].directive == RunDirective::kRun);
  CHECK(renewal->orders[0].job.id.empty());
  // A worker that lost the run gets the job again, at once.
  supervisor.OnSyncDone(MakeReply(RunStatus::kUnknown), kStart + Millis(1'010));
  const auto again = supervisor.NextSync(view, kStart + Millis(1'020), true);
  REQUIRE(again);
  CHECK(again->orders[0].job.id == "job");
}

TEST_CASE("a process that was paused starts nothing, but renews") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  const VmView view = MakeView();
  CHECK(!supervisor.NextSync(view, kStart, false));
  REQUIRE(supervisor.NextSync(view, kStart, true));
  supervisor.OnSyncDone(MakeReply(RunStatus::kRunning), kStart);
  CHECK(supervisor.NextSync(view, kStart + Millis(60'000), false));
}

TEST_CASE("a lapse is recorded only after quiet of lease and drift") {
  const lease::LeaseSettings settings;
  VmSupervisor supervisor{settings};
  const VmView view = MakeView();
  REQUIRE(supervisor.NextSync(view, kStart, true));
  supervisor.OnSyncDone(kNoAnswer, kStart);
  const Millis quiet = kStart + settings.length;
  CHECK(!supervisor.NextSync(view, quiet, true));
  const auto has_end = [](const std::vector<records::RecordBody>& bodies) {
    for (const auto& body : bodies) {
      if (std::holds_alternative<RunEnded>(body)) return true;
    }
    return false;
  };
  const Millis lapsed = quiet + settings.length + settings.drift;
  CHECK(!has_end(supervisor.NextRecords(view, lapsed - Millis(1))));
  VmView shared = view;
  shared.sole_renewer = false;
  CHECK(!supervisor.NextSync(shared, lapsed, true));
  CHECK(!has_end(supervisor.NextRecords(shared, lapsed)));
  // Alone again: the wait starts anew.
  CHECK(!supervisor.NextSync(view, lapsed, true));
  CHECK(!has_end(supervisor.NextRecords(view, lapsed)));
  const Millis later = lapsed + settings.length + settings.drift;
  CHECK(has_end(supervisor.NextRecords(view, later)));
}

TEST_CASE("a superseded entry promises only once nothing is on its way") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeView();
  REQUIRE(supervisor.NextSync(view, kStart, true));
  view.owned = false;
  CHECK(supervisor.NextRecords(view, kStart).empty());
  supervisor.OnSyncDone(kNoAnswer, kStart);
  const auto bodies = supervisor.NextRecords(view, kStart);
  REQUIRE(bodies.size() == 1);
  CHECK(!std::get<records::VmReleased>(bodies[0]).stopping);
  CHECK(!supervisor.NextSync(view, kStart + Millis(5'000), true));
}

TEST_CASE("a run that takes more than it is charged for is recorded, once") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeView();
  view.runs[0].charged = {1'000, 1'000, 0};
  Millis now = kStart;
  const auto usages = [&](const records::Resources& usage) {
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
  CHECK(usages({1'000, 1'000, 0}).empty());
  const records::Resources rounded{1'000, 1'280, 0};
  CHECK(usages({900, 1'100, 0}) == std::vector{rounded});
  CHECK(usages({900, 1'200, 0}).empty());
}

TEST_CASE("a record of usage that shows no effect is made again") {
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
  // A run is charged for all that its VM has, at most.
  view.runs[0].charged = {1'000, 125'000, 0};
  CHECK(supervisor.NextRecords(view, kStart + Millis(60'000)).empty());
}

static VmView MakeStandbyView() {
  VmView view = MakeView();
  view.owned = view.sole_renewer = false;
  view.standby = true;
  view.owner = "owner";
  view.owner_silent = true;
  view.renewers_version = 7;
  return view;
}

TEST_CASE("a standby renews for a silent owner, and starts nothing") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeStandbyView();
  view.owner_silent = false;
  CHECK(!supervisor.NextSync(view, kStart, true));
  view.owner_silent = true;
  const auto renewal = supervisor.NextSync(view, kStart, true);
  REQUIRE(renewal);
  CHECK(renewal->orders[0].job.id.empty());
  CHECK(renewal->forget.empty());
}

TEST_CASE("a standby that has promised to stay quiet does") {
  VmSupervisor supervisor{lease::LeaseSettings{}};
  VmView view = MakeStandbyView();
  CHECK(supervisor.NextRecords(view, kStart).empty());
  view.marked_unreachable = true;
  REQUIRE(supervisor.NextRecords(view, kStart).size() == 1);
  CHECK(!supervisor.NextSync(view, kStart, true));
  // The promise was void: the renewers had changed before it.
  view.renewers_version = 8;
  view.marked_unreachable = false;
  CHECK(supervisor.NextSync(view, kStart, true));
}
