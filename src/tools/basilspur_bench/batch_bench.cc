#include "batch_bench.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "batch_policy.h"
#include "batch_simulator.h"
#include "interference/mix_builder.h"
#include "lease/claim_planner.h"
#include "placement/planner.h"
#include "quantile.h"
#include "state/cluster_state.h"

namespace basilspur::bench {

using records::RunRef;

static constexpr Millis kSecond(1'000);
static constexpr Millis kEstimateExchangeInterval =
    interference::kEstimateExchangeInterval;
static constexpr double kSecondsPerHour = 3'600;
static constexpr double kMillisPerHour = 3'600'000;

static std::string EntryName(int index) {
  return "entry-" + std::to_string(index);
}

class BatchBench {
 public:
  explicit BatchBench(const BatchScenario& scenario)
      : scenario_(scenario), simulator_(scenario) {
    for (int i = 0; i < scenario.entries; ++i)
      entry_names_.insert(EntryName(i));
    for (const auto& name : entry_names_) {
      auto policy = MakeBatchPolicy(scenario.policy);
      auto planner = std::make_unique<placement::Planner>(policy->MakeScorer());
      entries_[name] = {std::move(policy), std::move(planner), 0};
      Append(name, records::EntryJoined{});
    }
    RegisterVms();
    RegisterServices();
  }

  BatchResults Run() {
    for (Millis now = kSecond; now < scenario_.duration; now = now + kSecond) {
      now_ = now;
      is_warmed_up_ = now >= scenario_.warmup;
      AcceptArrivals();
      RecordFinishedRuns();
      HandleReports();
      StopEvictedRuns();
      PlaceJobs();
      UpdateMixes();
      if (now.count % kEstimateExchangeInterval.count == 0) ExchangeEstimates();
      CollectMeasurements();
    }
    ComputeResults();
    return results_;
  }

 private:
  struct Entry {
    std::unique_ptr<BatchPolicy> policy;
    std::unique_ptr<placement::Planner> planner;
    std::int64_t sequence = 0;
  };

  bool Append(const std::string& writer, records::RecordBody body) {
    records::Record record;
    record.writer = {writer, 1};
    record.sequence = ++entries_[writer].sequence;
    record.wall_ms = now_.count;
    record.body = std::move(body);
    return state_.Apply(record).Accepted();
  }

  void RegisterVms() {
    for (int i = 0; i < scenario_.vms; ++i) {
      records::VmSpec spec;
      spec.name = BatchSimulator::VmName(i);
      spec.worker_address = "127.0.0.1:1";
      spec.capacity = scenario_.vm_capacity;
      Append(*entry_names_.begin(), records::VmListed{spec, false});
      Append(lease::PreferredOwner(spec.name, entry_names_),
             records::VmClaimed{spec.name, {}});
    }
  }

  void RegisterServices() {
    std::map<std::string, records::ServiceSpec> services;
    for (int i = 0; i < scenario_.vms; ++i) {
      records::ServiceSpec& spec = services[BatchSimulator::ServiceName(i)];
      spec.name = BatchSimulator::ServiceName(i);
      spec.per_target = scenario_.per_target;
      const std::string vm = BatchSimulator::VmName(i);
      spec.targets.push_back({vm + ":1", "", vm, 8});
    }
    for (const auto& [name, spec] : services) {
      Append(*entry_names_.begin(), records::ServicePut{spec, 0});
    }
  }

  const std::string& OwnerOf(const std::string& vm) const {
    return state_.VmTable().at(vm).owner.name;
  }
  const std::string& OwnerOf(const RunRef& run) const {
    return OwnerOf(state_.JobTable().at(run.job).vm);
  }

  void AcceptArrivals() {
    for (auto& spec : simulator_.GenerateArrivals(now_)) {
      accepted_at_[spec.id] = now_;
      Append(*entry_names_.begin(), records::JobAccepted{std::move(spec)});
    }
  }

  void RecordFinishedRuns() {
    for (const auto& run : simulator_.Step(now_)) {
      Append(OwnerOf(run),
             records::RunEnded{run, records::RunOutcome::kFinished, "", ""});
      if (!is_warmed_up_) continue;
      ++results_.finished;
      results_.core_hours_per_hour +=
          simulator_.CoreSecondsOf(run.job) / kSecondsPerHour;
      turnaround_ms_ += (now_ - accepted_at_.at(run.job)).count;
    }
  }

  void HandleReports() {
    for (const auto& report : simulator_.TakeDueReports(now_)) {
      const std::string& owner = OwnerOf(report.vm);
      for (const auto& [run, usage] : report.usage) RecordUsage(run, usage);
      for (const auto& run :
           entries_.at(owner).policy->OnReport(report, now_)) {
        Append(owner, records::RunEvicted{run, "slows services down"});
      }
    }
  }

  void RecordUsage(const RunRef& run, const records::Resources& usage) {
    const state::Job& job = state_.JobTable().at(run.job);
    const bool is_current =
        job.phase == state::JobPhase::kRunning && job.CurrentRun() == run;
    if (!is_current) return;
    if (usage.FitsIn(job.charged)) return;
    Append(OwnerOf(run), records::RunUsage{run, usage});
  }

  void StopEvictedRuns() {
    std::vector<RunRef> evicted;
    for (const auto& [name, vm] : state_.VmTable()) {
      for (const auto& id : vm.running_jobs) {
        const state::Job& job = state_.JobTable().at(id);
        if (job.evict_requested) evicted.push_back(job.CurrentRun());
      }
    }
    for (const auto& run : evicted) {
      simulator_.StopRun(run);
      Append(OwnerOf(run),
             records::RunEnded{run, records::RunOutcome::kStopped, "", ""});
      if (is_warmed_up_) ++results_.evictions;
    }
  }

  void PlaceJobs() {
    for (auto& [name, entry] : entries_) {
      for (auto& body : entry.planner->Plan(state_, name, entry_names_, now_)) {
        const bool accepted = Append(name, body);
        const auto* placed = std::get_if<records::RunPlaced>(&body);
        if (placed == nullptr) continue;
        if (accepted) simulator_.StartRun(placed->run, placed->vm);
        entry.planner->OnDecisionResolved(placed->run.job);
      }
    }
  }

  void UpdateMixes() {
    for (const auto& [name, vm] : state_.VmTable()) {
      BatchPolicy& policy = *entries_.at(vm.owner.name).policy;
      const interference::Mix mix = mixes_.MixOf(state_, vm);
      std::vector<interference::RunOnVm> runs;
      for (const auto& id : vm.running_jobs) {
        const state::Job& job = state_.JobTable().at(id);
        runs.push_back({job.CurrentRun(), job.spec.kind,
                        interference::CpuShare(job.charged, vm.spec.capacity),
                        false});
      }
      policy.OnMix(name, mix.services, runs, now_);
      for (const auto& run : runs) {
        simulator_.SetThrottled(run.run, policy.IsThrottled(name, run.run));
      }
    }
  }

  void ExchangeEstimates() {
    for (auto& [name, entry] : entries_) {
      const auto changed = entry.policy->TakeChangedEstimates();
      for (auto& [peer, peer_entry] : entries_) {
        if (peer != name) peer_entry.policy->MergePeerEstimates(name, changed);
      }
    }
  }

  void CollectMeasurements() {
    if (!is_warmed_up_) return;
    const std::vector<double> latencies_ms = simulator_.SampleLatencies();
    latencies_ms_.insert(latencies_ms_.end(), latencies_ms.begin(),
                         latencies_ms.end());
    results_.vm_seconds_over_memory += simulator_.CountVmsOverMemory();
  }

  void ComputeResults() {
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    results_.p50 = Quantile(latencies_ms_, 0.5);
    results_.p99 = Quantile(latencies_ms_, 0.99);
    results_.p999 = Quantile(latencies_ms_, 0.999);
    const double hours =
        static_cast<double>((scenario_.duration - scenario_.warmup).count) /
        kMillisPerHour;
    results_.core_hours_per_hour /= hours;
    results_.mean_turnaround_s =
        static_cast<double>(turnaround_ms_) /
        static_cast<double>(std::max<std::int64_t>(results_.finished, 1)) /
        static_cast<double>(kSecond.count);
    results_.invariants_hold = state_.CheckInvariants().empty();
  }

  const BatchScenario scenario_;
  BatchSimulator simulator_;
  state::ClusterState state_;
  std::set<std::string> entry_names_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Millis> accepted_at_;
  interference::MixBuilder mixes_;
  std::vector<double> latencies_ms_;
  std::int64_t turnaround_ms_ = 0;
  BatchResults results_;
  Millis now_;
  bool is_warmed_up_ = false;
};

BatchResults RunBatchScenario(const BatchScenario& scenario) {
  return BatchBench(scenario).Run();
}

}  // namespace basilspur::bench
