#include "state/cluster_state.h"

#include <catch2/catch.hpp>
#include <string>

#include "replica/snapshot.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using records::EntryRef;
using records::RunOutcome;
using state::ApplyResult;
using state::ApplyResultCode;
using state::ClusterState;
using state::JobPhase;

/// A cell state with two entries and four VMs. Applies records as if entries
/// had written them.
class StateFixture {
 public:
  StateFixture() {
    for (const char* name : {"a", "b"}) Join(name);
    for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4"}) ListVm(name);
  }

  ApplyResult Write(const std::string& entry, records::RecordBody body) {
    records::Record record;
    record.writer = {entry, 1};
    record.sequence = ++last_sequences_[entry];
    record.body = std::move(body);
    last_record_ = record;
    return state.Apply(record);
  }

  ApplyResult ReapplyLast() { return state.Apply(last_record_); }

  void Join(const std::string& name) { Write(name, records::EntryJoined{}); }

  void ListVm(const std::string& name) {
    records::VmSpec spec;
    spec.name = name;
    spec.worker_address = "w";
    spec.capacity = {4'000, 8'000, 1};
    Write("a", records::VmListed{spec, false});
    Write("a", records::VmClaimed{name, {}});
  }

  void AddJob(const std::string& id,
              records::Resources size = {1'000, 1'000, 0}) {
    records::JobSpec spec;
    spec.id = id;
    spec.team = "team";
    spec.resources = size;
    REQUIRE(Write("a", records::JobAccepted{spec}).Accepted());
  }

  ApplyResult Place(const std::string& job, std::int64_t run,
                    const std::string& vm) {
    return Write("a", records::RunPlaced{{job, run}, vm});
  }

  ApplyResult End(const std::string& job, std::int64_t run,
                  RunOutcome outcome) {
    return Write("a", records::RunEnded{{job, run}, outcome, "", ""});
  }

  const state::Job& Job(const std::string& id) const {
    return state.JobTable().at(id);
  }

  ClusterState state;

 private:
  std::map<std::string, std::int64_t> last_sequences_;
  records::Record last_record_;
};

TEST_CASE("a placement that exceeds the VM's capacity is rejected") {
  StateFixture fixture;
  fixture.AddJob("big", {3'000, 1'000, 0});
  fixture.AddJob("other", {2'000, 1'000, 0});
  CHECK(fixture.Place("big", 1, "vm-1").Accepted());
  CHECK(fixture.Place("other", 1, "vm-1").code == ApplyResultCode::kNoCapacity);
  CHECK(fixture.Place("other", 1, "vm-2").Accepted());
  CHECK(fixture.state.CheckInvariants() == "");
}

TEST_CASE("a run that uses more than declared is charged for its usage") {
  StateFixture fixture;
  fixture.AddJob("job");
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  const records::Resources usage{500, 3'000, 0};
  CHECK(fixture.Write("b", records::RunUsage{{"job", 1}, usage}).code ==
        ApplyResultCode::kConflict);
  CHECK(fixture.Write("a", records::RunUsage{{"job", 1}, usage}).Accepted());
  CHECK(fixture.Job("job").charged == records::Resources{1'000, 3'000, 0});
  CHECK(fixture.state.VmTable().at("vm-1").used ==
        records::Resources{1'000, 3'000, 0});
  CHECK(fixture.state.CheckInvariants() == "");
  CHECK(fixture.End("job", 1, RunOutcome::kFinished).Accepted());
  CHECK(fixture.state.VmTable().at("vm-1").used == records::Resources());
}

TEST_CASE("a run that exceeds its VM is evicted and then charged its usage") {
  StateFixture fixture;
  fixture.AddJob("job");
  fixture.AddJob("other", {1'000, 6'000, 0});
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  REQUIRE(fixture.Place("other", 1, "vm-1").Accepted());
  const records::Resources usage{1'000, 3'000, 0};
  CHECK(fixture.Write("a", records::RunUsage{{"job", 1}, usage}).Accepted());
  CHECK(fixture.Job("job").evict_requested);
  CHECK(fixture.state.CheckInvariants() == "");
  CHECK(fixture.End("job", 1, RunOutcome::kStopped).Accepted());
  CHECK(fixture.Place("job", 2, "vm-1").code == ApplyResultCode::kNoCapacity);
  CHECK(fixture.Place("job", 2, "vm-2").Accepted());
  CHECK(fixture.Job("job").charged == usage);
  CHECK(!fixture.Job("job").evict_requested);
}

TEST_CASE("an absurd usage report does not make its job unplaceable") {
  StateFixture fixture;
  fixture.AddJob("job");
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  const records::Resources absurd{1'000'000'000, 1'000'000'000, 1'000};
  CHECK(fixture.Write("a", records::RunUsage{{"job", 1}, absurd}).Accepted());
  // The usage of a run is limited to the capacity of its VM.
  CHECK(fixture.Job("job").Size() == records::Resources{4'000, 8'000, 1});
  CHECK(fixture.state.CheckInvariants() == "");
  CHECK(fixture.End("job", 1, RunOutcome::kStopped).Accepted());
  CHECK(fixture.state.WaitingReason(fixture.Job("job")).empty());
  CHECK(fixture.Place("job", 2, "vm-2").Accepted());
}

TEST_CASE("a standby is a renewer until it releases the VM") {
  StateFixture fixture;
  CHECK(fixture.Write("a", records::VmStandby{"vm-1", {}}).code ==
        ApplyResultCode::kConflict);
  CHECK(fixture.Write("b", records::VmStandby{"vm-1", {}}).Accepted());
  const state::Vm& vm = fixture.state.VmTable().at("vm-1");
  CHECK(vm.standby == EntryRef{"b", 1});
  CHECK(vm.renewers.contains(EntryRef{"b", 1}));
  fixture.AddJob("job");
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  records::RunEnded lease_expiry{{"job", 1}, RunOutcome::kLeaseExpired, "", ""};
  lease_expiry.renewers_version = vm.renewers_version;
  CHECK(fixture.Write("a", lease_expiry).code == ApplyResultCode::kConflict);
  const std::int64_t seen_version = vm.renewers_version;
  CHECK(fixture.Write("b", records::VmReleased{"vm-1", false, seen_version})
            .Accepted());
  CHECK(vm.standby == EntryRef{});
  lease_expiry.renewers_version = vm.renewers_version;
  CHECK(fixture.Write("a", lease_expiry).Accepted());
}

TEST_CASE("a standby that claims the VM is its owner and no longer standby") {
  StateFixture fixture;
  REQUIRE(fixture.Write("b", records::VmStandby{"vm-1", {}}).Accepted());
  REQUIRE(fixture.Write("b", records::VmClaimed{"vm-1", {"a", 1}}).Accepted());
  const state::Vm& vm = fixture.state.VmTable().at("vm-1");
  CHECK(vm.owner == EntryRef{"b", 1});
  CHECK(vm.standby == EntryRef{});
  CHECK(vm.renewers.size() == 2);
}

TEST_CASE("a job has one run at a time and finishes once") {
  StateFixture fixture;
  fixture.AddJob("job");
  CHECK(fixture.Place("job", 1, "vm-1").Accepted());
  CHECK(fixture.Place("job", 2, "vm-2").code == ApplyResultCode::kConflict);
  CHECK(fixture.End("job", 1, RunOutcome::kFinished).Accepted());
  CHECK(fixture.End("job", 1, RunOutcome::kFinished).code ==
        ApplyResultCode::kConflict);
  CHECK(fixture.Place("job", 2, "vm-2").code == ApplyResultCode::kConflict);
  CHECK(fixture.Job("job").phase == JobPhase::kFinished);
}

TEST_CASE("a duplicate record has no effect") {
  StateFixture fixture;
  fixture.AddJob("job");
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  const std::string before = fixture.state.Serialize();
  CHECK(fixture.ReapplyLast().code == ApplyResultCode::kDuplicate);
  CHECK(fixture.state.Serialize() == before);
}

TEST_CASE("only the owner ends a run; lease expiry requires a sole renewer") {
  StateFixture fixture;
  fixture.AddJob("job");
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  const records::RunEnded lease_expiry{
      {"job", 1}, RunOutcome::kLeaseExpired, "", "", 1};
  CHECK(fixture.Write("b", lease_expiry).code == ApplyResultCode::kConflict);
  REQUIRE(fixture.Write("b", records::VmClaimed{"vm-1", EntryRef{"a", 1}})
              .Accepted());
  CHECK(fixture.Write("b", lease_expiry).code == ApplyResultCode::kConflict);
  const std::int64_t seen_version =
      fixture.state.VmTable().at("vm-1").renewers_version;
  REQUIRE(fixture.Write("a", records::VmReleased{"vm-1", false, seen_version})
              .Accepted());
  const std::int64_t current_version =
      fixture.state.VmTable().at("vm-1").renewers_version;
  CHECK(fixture
            .Write("b", records::RunEnded{{"job", 1},
                                          RunOutcome::kLeaseExpired,
                                          "",
                                          "",
                                          current_version - 1})
            .code == ApplyResultCode::kConflict);
  CHECK(fixture
            .Write("b", records::RunEnded{{"job", 1},
                                          RunOutcome::kLeaseExpired,
                                          "",
                                          "",
                                          current_version})
            .Accepted());
  CHECK(fixture.Job("job").phase == JobPhase::kWaiting);
}

TEST_CASE("a temporary renewer invalidates the evidence of a lease expiry") {
  StateFixture fixture;
  fixture.AddJob("job");
  REQUIRE(fixture.Place("job", 1, "vm-1").Accepted());
  const std::int64_t seen_version =
      fixture.state.VmTable().at("vm-1").renewers_version;
  // b claims the VM, renews the lease and ends. a claims the VM again without
  // having read that, so its evidence predates the renewal.
  fixture.Write("b", records::VmClaimed{"vm-1", EntryRef{"a", 1}});
  fixture.Write("a", records::EntryEnded{{"b", 1}});
  fixture.Write("a", records::VmClaimed{"vm-1", {}});
  CHECK(
      fixture
          .Write(
              "a",
              records::RunEnded{
                  {"job", 1}, RunOutcome::kLeaseExpired, "", "", seen_version})
          .code == ApplyResultCode::kConflict);
}

TEST_CASE("a release that is older than a claim is rejected") {
  StateFixture fixture;
  const auto version = [&] {
    return fixture.state.VmTable().at("vm-1").renewers_version;
  };
  // b claims the VM. a releases it based on that state, but a claim of a is in
  // flight, too, and is applied first.
  fixture.Write("b", records::VmClaimed{"vm-1", EntryRef{"a", 1}});
  const records::VmReleased release{"vm-1", false, version()};
  fixture.Write("a", records::VmClaimed{"vm-1", EntryRef{"b", 1}});
  CHECK(fixture.Write("a", release).code == ApplyResultCode::kConflict);
  // The release stays invalid after b has claimed the VM again, which a has not
  // read yet.
  fixture.Write("b", records::VmClaimed{"vm-1", EntryRef{"a", 1}});
  CHECK(fixture.Write("a", release).code == ApplyResultCode::kConflict);
  CHECK(fixture.state.VmTable().at("vm-1").renewers.size() == 2);
  CHECK(fixture.Write("a", records::VmReleased{"vm-1", false, version()})
            .Accepted());
  CHECK(fixture.Write("b", records::VmReleased{"vm-1", true, 0}).Accepted());
}

TEST_CASE("a version conflict names both versions") {
  StateFixture fixture;
  const ApplyResult first = fixture.Write("a", records::ConfigPut{"k", "v", 0});
  REQUIRE(first.Accepted());
  const ApplyResult second =
      fixture.Write("b", records::ConfigPut{"k", "w", 0});
  CHECK(second.code == ApplyResultCode::kConflict);
  CHECK(second.version == first.version);
  CHECK(second.reason.find("version 0") != std::string::npos);
  CHECK(second.reason.find(std::to_string(first.version)) != std::string::npos);
}

TEST_CASE("records of an entry that has ended are rejected") {
  StateFixture fixture;
  fixture.Write("a", records::EntryEnded{{"b", 1}});
  CHECK(fixture.Write("b", records::ConfigPut{"k", "v", 0}).code ==
        ApplyResultCode::kUnknownWriter);
}

TEST_CASE("replay enforces quotas, and the waiting reason names them") {
  StateFixture fixture;
  fixture.Write("a", records::TeamPut{{"team", {1'500, 8'000, 0}}, 0});
  fixture.AddJob("one");
  fixture.AddJob("two");
  CHECK(fixture.Place("one", 1, "vm-1").Accepted());
  CHECK(fixture.Place("two", 1, "vm-2").code == ApplyResultCode::kOverQuota);
  CHECK(fixture.state.WaitingReason(fixture.Job("two")) ==
        "exceeds the quota of team team");
  fixture.AddJob("huge", {0, 0, 3});
  fixture.Write("a",
                records::TeamPut{{"team", {1'500, 8'000, 9}},
                                 fixture.state.TeamTable().at("team").version});
  CHECK(fixture.state.WaitingReason(fixture.Job("huge")) ==
        "no VM has 3 accelerators");
}

TEST_CASE(
    "a job that fails on healthy VMs ends as failed; the VMs stay in use") {
  StateFixture fixture;
  fixture.AddJob("bad");
  for (int i = 1; i <= 3; ++i) {
    const std::string vm = "vm-" + std::to_string(i);
    REQUIRE(fixture.Place("bad", i, vm).Accepted());
    REQUIRE(fixture.End("bad", i, RunOutcome::kFailed).Accepted());
    const std::string healthy_job = "good-" + std::to_string(i);
    fixture.AddJob(healthy_job);
    REQUIRE(fixture.Place(healthy_job, 1, vm).Accepted());
    REQUIRE(fixture.End(healthy_job, 1, RunOutcome::kFinished).Accepted());
  }
  CHECK(fixture.Job("bad").phase == JobPhase::kFailed);
  for (const auto& [name, vm] : fixture.state.VmTable()) {
    CHECK(!vm.quarantined);
  }
}

TEST_CASE(
    "a VM whose jobs all fail is quarantined; its jobs finish elsewhere") {
  StateFixture fixture;
  for (int i = 1; i <= 2; ++i) {
    const std::string job = "job-" + std::to_string(i);
    fixture.AddJob(job);
    REQUIRE(fixture.Place(job, 1, "vm-1").Accepted());
    REQUIRE(fixture.End(job, 1, RunOutcome::kFailed).Accepted());
    REQUIRE(fixture.Place(job, 2, "vm-2").Accepted());
    REQUIRE(fixture.End(job, 2, RunOutcome::kFinished).Accepted());
    CHECK(fixture.Job(job).phase == JobPhase::kFinished);
  }
  CHECK(fixture.state.VmTable().at("vm-1").quarantined);
  CHECK(!fixture.state.VmTable().at("vm-2").quarantined);
}

TEST_CASE("a snapshot restores the same state from chunks in any order") {
  StateFixture fixture;
  for (int i = 0; i < 10'000; ++i) fixture.AddJob("job-" + std::to_string(i));
  fixture.state.SetOffset(7);
  const auto chunks = replica::SplitSnapshot(fixture.state, "cell", {"a", 1});
  REQUIRE(chunks.size() > 1);
  replica::SnapshotAssembler assembler;
  for (auto chunk = chunks.rbegin(); chunk != chunks.rend(); ++chunk) {
    CHECK(!assembler.CompleteOffset());
    assembler.Add(*chunk);
    assembler.Add(*chunk);
  }
  REQUIRE(assembler.CompleteOffset() == 7);
  const auto loaded = assembler.Load();
  REQUIRE(IsOk(loaded));
  CHECK(ValueOf(loaded).Serialize() == fixture.state.Serialize());
  CHECK(ValueOf(loaded).Waiting() == fixture.state.Waiting());
}
