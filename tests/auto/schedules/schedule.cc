#include "auto/schedules/schedule.h"

#include <algorithm>

namespace basilspur::schedules {

using fakes::SimEntry;
using fakes::SimVm;

static constexpr int kEntries = 3;
static constexpr int kVms = 3;
static constexpr int kStepsWithFaults = 600;
static constexpr int kMaxStepsWithoutFaults = 6'000;
static constexpr int kMaxJobs = 12;

static lease::LeaseSettings Settings() {
  lease::LeaseSettings settings;
  settings.length = Millis(5'000);
  settings.renew_interval = Millis(1'000);
  settings.clock_drift = Millis(500);
  settings.pause_threshold = Millis(1'000);
  return settings;
}

static SimVm MakeVm(const std::string& name) {
  SimVm vm;
  vm.spec.name = name;
  vm.spec.worker_address = "worker-of-" + name;
  vm.spec.capacity = {4'000, 8'000, 0};
  return vm;
}

FaultSchedule::FaultSchedule(std::uint64_t seed, const FaultMix& mix)
    : world_(seed), mix_(mix) {
  for (int i = 0; i < kVms; ++i) {
    const std::string name = "vm-" + std::to_string(next_vm_++);
    world_.vms[name] = MakeVm(name);
  }
  for (int i = 0; i < kEntries; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    // The platform also lists the VMs on which the entries themselves run.
    SimVm& vm = world_.vms["vm-of-" + name];
    vm.spec.name = "vm-of-" + name;
    world_.entries_up.insert(name);
    entries_.push_back(std::make_unique<SimEntry>(name, world_, Settings()));
  }
}

std::string FaultSchedule::Run() {
  for (int i = 0; i < kStepsWithFaults; ++i) {
    SubmitWork();
    InjectFaults();
    StepAll();
    const std::string violation = CheckInvariantsNow();
    if (!violation.empty()) return violation;
  }
  ClearFaults();
  for (int i = 0; i < kMaxStepsWithoutFaults; ++i) {
    StepAll();
    const std::string violation = CheckInvariantsNow();
    if (!violation.empty()) return violation;
    if (i > 100 && AllJobsEnded()) return CheckAtEnd();
  }
  std::string unfinished_jobs;
  entries_[0]->Replica().Read([&](const state::ClusterState& state) {
    for (const auto& [id, job] : state.JobTable()) {
      if (!job.HasEnded())
        unfinished_jobs += " " + id + "@" + job.vm + ":" + job.detail;
    }
    return 0;
  });
  return "jobs not ended after the faults were cleared:" + unfinished_jobs;
}

void FaultSchedule::SubmitWork() {
  SimEntry& entry = *entries_[world_.random.Below(kEntries)];
  if (entry.IsPaused() || world_.log.Faults().down) return;
  if (jobs_ < kMaxJobs && world_.random.Chance(0.1)) {
    records::JobSpec spec;
    spec.id = "job-" + std::to_string(jobs_++);
    const bool fails = mix_.failing_jobs && world_.random.Chance(0.3);
    spec.command = (fails ? "fail " : "work ") +
                   std::to_string(500 + world_.random.Below(20'000));
    if (mix_.wrong_resource_requests && world_.random.Chance(0.5)) {
      const std::uint64_t memory = 1'000 + world_.random.Below(6'000);
      spec.command += " uses 1000 " + std::to_string(memory);
    }
    spec.resources = {
        1'000 + static_cast<std::int64_t>(world_.random.Below(2'000)), 2'000,
        0};
    spec.urgent = world_.random.Chance(0.2);
    entry.Submit(records::JobAccepted{spec}, "operator");
  }
  if (world_.random.Chance(0.05)) {
    // Operators write concurrently, so the base version is often outdated.
    const auto version =
        entry.Replica().Read([](const state::ClusterState& state) {
          const auto found = state.ConfigTable().find("key");
          return found == state.ConfigTable().end() ? 0 : found->second.version;
        });
    entry.Submit(
        records::ConfigPut{"key", std::to_string(config_writes_++), version},
        "operator");
  }
}

void FaultSchedule::InjectFaults() {
  fakes::LogFaults faults = world_.log.Faults();
  if (mix_.log_outages && world_.random.Chance(0.02)) {
    faults.down = !faults.down;
  }
  if (mix_.lost_append_replies && world_.random.Chance(0.05)) {
    faults.lose_responses = !faults.lose_responses;
  }
  world_.log.SetFaults(faults);
  for (auto& entry : entries_) {
    if (mix_.pauses && world_.random.Chance(0.02)) {
      entry->IsPaused() ? entry->Resume() : entry->Pause();
      // Peers usually notice that an entry has been paused or resumed.
      if (world_.random.Chance(0.7)) {
        if (entry->IsPaused()) world_.entries_up.erase(entry->Self().name);
        if (!entry->IsPaused()) world_.entries_up.insert(entry->Self().name);
      }
    }
    if (mix_.restarts && world_.random.Chance(0.005)) entry->Restart();
  }
  if (world_.random.Chance(0.02)) {
    auto vm = world_.vms.begin();
    std::advance(vm, world_.random.Below(world_.vms.size()));
    if (vm->second.spec.worker_address.empty()) return;
    if (mix_.worker_partitions && world_.random.Chance(0.7)) {
      auto& unreachable_from = vm->second.unreachable_from;
      const std::string name =
          entries_[world_.random.Below(kEntries)]->Self().name;
      if (!unreachable_from.erase(name)) unreachable_from.insert(name);
      return;
    }
    if (mix_.vm_losses && vm->second.alive) {
      vm->second.worker.Crash(world_.clock.Monotonic());
      vm->second.alive = false;
      vm->second.listed = false;
      const std::string name = "vm-" + std::to_string(next_vm_++);
      world_.vms[name] = MakeVm(name);
    }
  }
  if (mix_.clock_jumps && world_.random.Chance(0.01)) {
    world_.clock.ShiftWallClock(Millis(
        static_cast<std::int64_t>(world_.random.Below(20'000)) - 10'000));
  }
}

void FaultSchedule::ClearFaults() {
  world_.log.SetFaults({});
  for (auto& entry : entries_) {
    entry->Resume();
    world_.entries_up.insert(entry->Self().name);
  }
  for (auto& [name, vm] : world_.vms) vm.unreachable_from.clear();
}

void FaultSchedule::StepAll() {
  world_.clock.Advance(
      Millis(20 + static_cast<std::int64_t>(world_.random.Below(200))));
  for (auto& [name, vm] : world_.vms) {
    if (vm.alive) vm.worker.Step(world_.clock.Monotonic());
  }
  for (auto& entry : entries_) entry->Step();
}

std::string FaultSchedule::CheckInvariantsNow() {
  std::map<std::string, int> running;
  for (const auto& [name, vm] : world_.vms) {
    if (!vm.worker.ReservedResources().FitsIn(vm.spec.capacity)) {
      return "VM " + name + " runs more than its capacity";
    }
    for (const auto& run : vm.worker.RunningRuns()) {
      if (++running[run.job] > 1) return run.job + " has two concurrent runs";
    }
  }
  for (const auto& entry : entries_) {
    if (!entry->Violations().empty()) return entry->Violations().front();
    const std::string violation =
        entry->Replica().Read([this](const state::ClusterState& state) {
          for (const auto& [id, job] : state.JobTable()) {
            if (!job.HasEnded()) continue;
            const std::string phase =
                std::to_string(static_cast<int>(job.phase));
            const auto [first, is_new] = ended_phases_.emplace(id, phase);
            if (first->second != phase)
              return id + " changed its phase after it had ended";
          }
          return state.CheckInvariants();
        });
    if (!violation.empty()) return violation;
  }
  return "";
}

bool FaultSchedule::AllJobsEnded() {
  return std::all_of(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry->Replica().Read([](const state::ClusterState& state) {
      return std::all_of(
          state.JobTable().begin(), state.JobTable().end(),
          [](const auto& item) { return item.second.HasEnded(); });
    });
  });
}

std::string FaultSchedule::CheckAtEnd() {
  std::string first;
  std::int64_t offset = -2;
  for (const auto& entry : entries_) {
    entry->Replica().Read([&](const state::ClusterState& state) {
      if (offset == -2) offset = state.Offset();
      if (state.Offset() != offset) return 0;
      const std::string bytes = state.Serialize();
      if (first.empty()) first = bytes;
      if (bytes != first) first = "differ";
      return 0;
    });
    if (first == "differ")
      return "states of two replicas differ at the same offset";
  }
  return "";
}

}  // namespace basilspur::schedules
