#include "placement/planner.h"

#include <catch2/catch.hpp>

#include "placement/interference_scorer.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using interference::InterferenceModel;
using interference::Profile;
using placement::InterferenceScorer;
using placement::Planner;

static constexpr Profile kProfile{
    "test", 1.5, Millis(60'000), {2, 1.8, 3, Millis(1), Millis(1)}, 1};

/// Two VMs with an executor each. Jobs of kind "noisy" slow down the service
/// "sensitive" on vm-1, but not the service "robust" on vm-2.
class PlannerFixture {
 public:
  PlannerFixture()
      : planner_(std::make_unique<InterferenceScorer>(model_, kProfile)) {
    Write(records::EntryJoined{});
    for (const char* name : {"vm-1", "vm-2"}) {
      records::VmSpec vm{name, "w", "", "", {8'000, 8'000, 0}};
      Write(records::VmListed{vm, false});
    }
    PutService("sensitive", "vm-1");
    PutService("robust", "vm-2");
    for (int i = 0; i < 100; ++i) {
      model_.Observe({{"sensitive"}, {{"noisy", 0.5}}}, 3);
      model_.Observe({{"robust"}, {{"noisy", 0.5}}}, 1);
    }
  }

  void AddJob(const std::string& id, bool urgent = false) {
    records::JobSpec spec;
    spec.id = id;
    spec.kind = "noisy";
    spec.resources = {4'000, 1'000, 0};
    spec.urgent = urgent;
    Write(records::JobAccepted{spec});
  }

  /// Plans and applies the decisions. Returns the VM of the job, or an empty
  /// string if it has not been placed.
  std::string PlaceAt(Millis now, const std::string& job) {
    for (const auto& body : planner_.Plan(state_, "e", {"e"}, now)) {
      if (const auto* placed = std::get_if<records::RunPlaced>(&body)) {
        planner_.OnDecisionResolved(placed->run.job);
      }
      Write(body);
    }
    return state_.JobTable().at(job).vm;
  }

 private:
  void PutService(const std::string& name, const std::string& vm) {
    records::ServiceSpec spec;
    spec.name = name;
    spec.targets = {{"127.0.0.1:1", "", vm, 8}};
    Write(records::ServicePut{spec, 0});
  }

  void Write(records::RecordBody body) {
    records::Record record;
    record.writer = {"e", 1};
    record.sequence = ++sequence_;
    record.body = std::move(body);
    REQUIRE(state_.Apply(record).Accepted());
  }

  state::ClusterState state_;
  InterferenceModel model_;
  Planner planner_;
  std::int64_t sequence_ = 0;
};

TEST_CASE("a job is placed where it slows down services least") {
  for (const char* id : {"job-a", "job-b", "job-c", "job-d"}) {
    PlannerFixture fixture;
    fixture.AddJob(id);
    CHECK(fixture.PlaceAt(Millis(0), id) == "vm-2");
  }
}

TEST_CASE("decisions that are not in force yet are taken into account") {
  PlannerFixture fixture;
  for (const char* id : {"a", "b", "c"}) fixture.AddJob(id);
  CHECK(fixture.PlaceAt(Millis(0), "a") == "vm-2");
  CHECK(fixture.PlaceAt(Millis(0), "b") == "vm-2");
  CHECK(fixture.PlaceAt(Millis(0), "c").empty());
}

TEST_CASE(
    "a job waits rather than slow down services, but only for a limited time") {
  PlannerFixture fixture;
  for (const char* id : {"a", "b", "c"}) fixture.AddJob(id);
  CHECK(fixture.PlaceAt(Millis(0), "c").empty());
  CHECK(fixture.PlaceAt(Millis(59'000), "c").empty());
  CHECK(fixture.PlaceAt(Millis(60'000), "c") == "vm-1");
}

TEST_CASE("an urgent job is placed even if it slows down services") {
  PlannerFixture fixture;
  fixture.AddJob("a");
  fixture.AddJob("b");
  CHECK(fixture.PlaceAt(Millis(0), "b") == "vm-2");
  fixture.AddJob("urgent", true);
  CHECK(fixture.PlaceAt(Millis(0), "urgent") == "vm-1");
}
