// Measures the memory and processor time of cluster state, records and
// decisions at several sizes, from which the costs per unit in docs/CAPACITY.md
// are derived. Prints one line per size.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "front/route_table.h"
#include "interference/interference_model.h"
#include "interference/profile.h"
#include "lease/claim_planner.h"
#include "lease/vm_supervisor.h"
#include "lease/vm_view.h"
#include "link/messages.h"
#include "placement/interference_scorer.h"
#include "placement/planner.h"
#include "records/codec.h"
#include "replica/snapshot.h"
#include "state/cluster_state.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using SteadyClock = std::chrono::steady_clock;

static constexpr int kEntries = 9;
static constexpr int kRecordsPerBatch = 200;
static constexpr Millis kWallTime(1'700'000'000'000);

static double MillisSince(SteadyClock::time_point begin) {
  const std::chrono::duration<double, std::milli> elapsed =
      SteadyClock::now() - begin;
  return elapsed.count();
}

/// Returns the number of heap bytes that are allocated in this process.
static double AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Builds the cluster state of a cell from the records that its entries would
/// write.
class StateBuilder {
 public:
  void Apply(const std::string& entry, records::RecordBody body) {
    records::Record record;
    record.cell = "cell-0";
    record.writer = {entry, 1'800'000'000'000'000};
    record.sequence = ++last_sequences_[entry];
    record.wall_ms = kWallTime.count;
    record.body = std::move(body);
    state.Apply(record);
  }

  void JoinEntries(int entries) {
    for (int i = 0; i < entries; ++i) {
      const std::string name = "entry-" + std::to_string(i);
      entries_up.insert(name);
      Apply(name,
            records::EntryJoined{{"moss", "10.0.0.1:8080", "10.0.0.1:8082",
                                  "10.0.0.1:8081", "vm-of-" + name}});
    }
  }

  void AddVms(int count) {
    for (int i = 0; i < count; ++i) {
      records::VmSpec spec;
      spec.name = "vm-" + std::to_string(i);
      spec.worker_address = "10.1.2.3:7000";
      spec.rack = "rack-" + std::to_string(i / 8);
      spec.data_center = "moss";
      spec.capacity = {32'000, 125'000, 2};
      Apply("entry-0", records::VmListed{spec, false});
    }
  }

  void AddJobs(int begin, int end) {
    for (int i = begin; i < end; ++i) {
      records::JobSpec spec;
      spec.id = "job-" + std::to_string(100'000'000 + i);
      spec.team = "team-" + std::to_string(i % 370);
      spec.kind = "kind-" + std::to_string(i % 12);
      spec.command = "rebuild --track " + std::to_string(i);
      spec.resources = {2'000, 4'000, 0};
      Apply("entry-0", records::JobAccepted{spec});
    }
  }

  /// Runs the planner of every entry until no job is left to place, and applies
  /// its decisions. Returns the number of runs that were placed.
  std::size_t PlaceAllJobs(placement::Planner& planner) {
    std::size_t placed = 0;
    for (const auto& entry : entries_up) {
      for (;;) {
        auto decisions = planner.Plan(state, entry, entries_up, kWallTime);
        if (decisions.empty()) break;
        for (auto& body : decisions) {
          const auto job = std::get<records::RunPlaced>(body).run.job;
          Apply(entry, std::move(body));
          planner.OnDecisionResolved(job);
          ++placed;
        }
      }
    }
    return placed;
  }

  state::ClusterState state;
  std::set<std::string> entries_up;

 private:
  std::map<std::string, std::int64_t> last_sequences_;
};

static placement::Planner MakePlanner() {
  return placement::Planner(std::make_unique<placement::FirstFitScorer>());
}

/// Measures the memory of the state, and the time to place runs, to split and
/// load a snapshot and to plan claims, in a cell of `vms` VMs with ten runs on
/// each.
static void MeasureState(int vms) {
  const double before = AllocatedBytes();
  auto cell = std::make_unique<StateBuilder>();
  cell->JoinEntries(kEntries);
  cell->AddVms(vms);
  const double after_vms = AllocatedBytes();
  const int jobs = vms * 10;
  cell->AddJobs(0, jobs);
  placement::Planner planner = MakePlanner();
  auto begin = SteadyClock::now();
  const std::size_t placed = cell->PlaceAllJobs(planner);
  const double place_ms = MillisSince(begin);
  const double after_jobs = AllocatedBytes();
  begin = SteadyClock::now();
  const auto chunks = replica::SplitSnapshot(cell->state, "cell-0", {"e", 1});
  const double split_ms = MillisSince(begin);
  std::size_t bytes = 0;
  replica::SnapshotAssembler assembler;
  for (const auto& chunk : chunks) {
    bytes += chunk.data.size();
    assembler.Add(chunk);
  }
  begin = SteadyClock::now();
  const auto loaded = assembler.Load();
  const double load_ms = MillisSince(begin);
  begin = SteadyClock::now();
  const auto claims =
      lease::PlanClaims(cell->state, {"entry-1", 1}, cell->entries_up);
  const double plan_claims_ms = MillisSince(begin);
  std::printf(
      "state    vms %6d runs %7zu | VM %5.0f B  run %5.0f B | snapshot %8zu B "
      "cut %6.1f ms load %6.1f ms | place %6.2f us/run | claims %6.2f ms %s\n",
      vms, placed, (after_vms - before) / vms, (after_jobs - after_vms) / jobs,
      bytes, split_ms, load_ms, place_ms * 1'000 / static_cast<double>(placed),
      plan_claims_ms, IsOk(loaded) ? "" : "NOT LOADED");
}

/// Measures the time to place runs when VMs are scored by predicted
/// interference. Each VM has an executor of one of 20 services, for which
/// estimates of the interference by twelve kinds of jobs exist.
static void MeasureScoredPlacement(int vms) {
  constexpr int kServices = 20;
  constexpr int kKinds = 12;
  StateBuilder cell;
  cell.JoinEntries(kEntries);
  cell.AddVms(vms);
  interference::InterferenceModel model;
  for (int s = 0; s < kServices; ++s) {
    records::ServiceSpec spec;
    spec.name = "service-" + std::to_string(s);
    for (int vm = s; vm < vms; vm += kServices) {
      const std::string name = "vm-" + std::to_string(vm);
      spec.targets.push_back({name + ":1", "moss", name, 8});
    }
    cell.Apply("entry-0", records::ServicePut{spec, 0});
    for (int k = 0; k < kKinds; ++k) {
      model.Observe({{spec.name}, {{"kind-" + std::to_string(k), 0.1}}}, 1.02);
    }
  }
  cell.AddJobs(0, vms * 10);
  placement::Planner planner(std::make_unique<placement::InterferenceScorer>(
      model, interference::ProfileNamed("tail")));
  const auto begin = SteadyClock::now();
  const std::size_t placed = cell.PlaceAllJobs(planner);
  std::printf("scored   vms %6d runs %7zu | place %6.2f us/run\n", vms, placed,
              MillisSince(begin) * 1'000 / static_cast<double>(placed));
}

/// Measures the time to encode, decode and apply the records of `jobs` jobs
/// from acceptance to end.
static void MeasureReplay(int jobs) {
  std::vector<records::RecordBatch> batches;
  std::int64_t sequence = 0;
  const auto append = [&](records::RecordBody body) {
    if (batches.empty() || batches.back().records.size() == kRecordsPerBatch) {
      batches.emplace_back();
    }
    records::Record record;
    record.cell = "cell-0";
    record.writer = {"entry-0", 1'800'000'000'000'000};
    record.sequence = ++sequence;
    record.wall_ms = kWallTime.count;
    record.body = std::move(body);
    batches.back().records.push_back(std::move(record));
  };
  append(records::EntryJoined{});
  records::VmSpec vm;
  vm.name = "vm-0";
  vm.worker_address = "10.1.2.3:7000";
  vm.capacity = {32'000, 125'000, 2};
  append(records::VmListed{vm, false});
  append(records::VmClaimed{"vm-0", {}});
  for (int i = 0; i < jobs; ++i) {
    records::JobSpec spec;
    spec.id = "job-" + std::to_string(100'000'000 + i);
    spec.team = "team-" + std::to_string(i % 370);
    spec.kind = "kind";
    spec.command = "rebuild --track " + std::to_string(i);
    spec.resources = {2'000, 4'000, 0};
    append(records::JobAccepted{spec});
    append(records::RunPlaced{{spec.id, 1}, "vm-0"});
    append(records::RunCheckpointed{{spec.id, 1}, "checkpoint-1"});
    append(records::RunEnded{
        {spec.id, 1}, records::RunOutcome::kFinished, "", "", 0});
  }
  auto begin = SteadyClock::now();
  std::vector<records::Bytes> payloads;
  std::size_t bytes = 0;
  for (const auto& batch : batches) {
    payloads.push_back(records::Encode(batch));
    bytes += payloads.back().size();
  }
  const double encode_us = MillisSince(begin) * 1'000;
  begin = SteadyClock::now();
  state::ClusterState state;
  std::int64_t accepted = 0;
  for (const auto& payload : payloads) {
    const auto batch = records::Decode<records::RecordBatch>(payload);
    for (const auto& record : ValueOf(batch).records) {
      if (state.Apply(record).Accepted()) ++accepted;
    }
  }
  const double apply_us = MillisSince(begin) * 1'000;
  const auto count = static_cast<double>(sequence);
  std::printf(
      "replay   records %7lld | %5.1f B/record | encode %5.2f us  decode and "
      "apply %5.2f us | accepted %lld\n",
      static_cast<long long>(sequence), static_cast<double>(bytes) / count,
      encode_us / count, apply_us / count, static_cast<long long>(accepted));
}

/// Measures the message sizes and the time of one lease renewal for a VM with
/// `runs` runs.
static void MeasureLeaseRenewal(int runs) {
  lease::VmView view;
  view.vm = "vm-0";
  view.worker_address = "10.1.2.3:7000";
  view.owned = view.may_renew = view.sole_renewer = true;
  for (int i = 0; i < runs; ++i) {
    records::JobSpec spec;
    spec.id = "job-" + std::to_string(100'000'000 + i);
    spec.team = "team-1";
    spec.kind = "kind-1";
    spec.command = "rebuild --track 1";
    spec.resources = {2'000, 4'000, 0};
    view.runs.push_back(
        {{spec.id, 1}, spec, "checkpoint-1", false, spec.resources});
  }
  lease::VmSupervisor supervisor{lease::LeaseSettings{}};
  constexpr int kIterations = 2'000;
  std::size_t request_bytes = 0;
  std::size_t reply_bytes = 0;
  Millis now(1'000'000);
  const auto begin = SteadyClock::now();
  for (int i = 0; i < kIterations; ++i) {
    now = now + Millis(1'000);
    supervisor.NextRecords(view, now);
    const auto request = supervisor.NextSync(view, now, true);
    if (!request) continue;
    infra::SyncReply reply;
    for (const auto& command : request->commands) {
      infra::RunReport report;
      report.run = command.run;
      report.checkpoint = "checkpoint-1";
      report.usage = view.runs[0].job.resources;
      reply.reports.push_back(report);
    }
    request_bytes = records::Encode(*request).size();
    const records::Bytes encoded = records::Encode(reply);
    reply_bytes = encoded.size();
    supervisor.OnSyncDone(records::Decode<infra::SyncReply>(encoded), now);
  }
  std::printf(
      "lease    runs %4d | request %6zu B  reply %6zu B | %7.1f us/renewal\n",
      runs, request_bytes, reply_bytes,
      MillisSince(begin) * 1'000 / kIterations);
}

/// Measures the size of a load report for `services` services and the time to
/// encode and decode it.
static void MeasureLoadReport(int services) {
  link::LoadReport report;
  for (int i = 0; i < services; ++i) {
    report.services.push_back({"service-" + std::to_string(i), 40, 0});
  }
  const link::Message message = report;
  constexpr int kIterations = 2'000;
  std::size_t bytes = 0;
  const auto begin = SteadyClock::now();
  for (int i = 0; i < kIterations; ++i) {
    const records::Bytes encoded = records::Encode(message);
    bytes = encoded.size();
    records::Decode<link::Message>(encoded);
  }
  std::printf("report   services %4d | %6zu B | %6.1f us both ways\n", services,
              bytes, MillisSince(begin) * 1'000 / kIterations);
}

/// Measures the time to rebuild the routes of one service with `targets`
/// targets.
static void MeasureRouteRebuild(int targets) {
  StateBuilder cell;
  cell.JoinEntries(kEntries);
  records::ServiceSpec spec;
  spec.name = "service";
  for (int i = 0; i < targets; ++i) {
    spec.targets.push_back({"10.0." + std::to_string(i / 250) + "." +
                                std::to_string(i % 250) + ":80",
                            "moss", "vm-" + std::to_string(i), 8});
  }
  cell.Apply("entry-0", records::ServicePut{spec, 0});
  constexpr int kIterations = 100;
  const auto begin = SteadyClock::now();
  for (int i = 0; i < kIterations; ++i) {
    front::BuildRoutes(cell.state, "entry-3", cell.entries_up);
  }
  std::printf("routes   targets %6d | %8.1f us/rebuild\n", targets,
              MillisSince(begin) * 1'000 / kIterations);
}

int main(int argc, char** argv) {
  cxxopts::Options options("basilspur_slopes",
                           "Measures memory and processor time by size, for "
                           "docs/CAPACITY.md.");
  options.add_options()("h,help", "show this help");
  if (options.parse(argc, argv).count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  for (const int vms : {250, 1'200, 5'000}) MeasureState(vms);
  for (const int vms : {250, 1'200, 5'000}) MeasureScoredPlacement(vms);
  for (const int jobs : {2'500, 25'000, 100'000}) MeasureReplay(jobs);
  for (const int runs : {1, 10, 40}) MeasureLeaseRenewal(runs);
  for (const int services : {2, 20, 200}) MeasureLoadReport(services);
  for (const int targets : {50, 500, 5'000}) MeasureRouteRebuild(targets);
  return 0;
}
