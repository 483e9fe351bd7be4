#include "fakes/sim_entry.h"

#include <algorithm>
#include <utility>

#include "entry/vm_list_poller.h"
#include "lease/claim_planner.h"
#include "lease/vm_view.h"
#include "records/codec.h"
#include "replica/incarnation.h"

namespace basilspur::fakes {

static constexpr char kCell[] = "cell-0";
static constexpr Millis kSyncTimeout(2'000);

std::vector<infra::ListedVm> SimWorld::List() const {
  std::vector<infra::ListedVm> list;
  for (const auto& [name, vm] : vms) {
    if (vm.listed) list.push_back({vm.spec, false});
  }
  return list;
}

SimEntry::SimEntry(std::string name, SimWorld& world,
                   const lease::LeaseSettings& settings)
    : world_(world), settings_(settings) {
  self_.name = std::move(name);
  Restart();
}

void SimEntry::Restart() {
  paused_ = false;
  loaded_ = false;
  replica_ = std::make_unique<replica::Replica>(
      std::make_unique<FakeLog>(world_.log), kCell, world_.clock);
  planner_ = std::make_unique<placement::Planner>(
      std::make_unique<placement::FirstFitScorer>());
  pause_detector_ =
      std::make_unique<lease::PauseDetector>(settings_.pause_threshold);
  supervisors_.clear();
  missed_list_counts_.clear();
  sync_messages_.clear();
  queue_.clear();
  in_flight_.clear();
  last_sequence_ = 0;
  applied_sequence_ = 0;
  pending_claims_.clear();
  replica_->OnRecordApplied([this](const records::Record& record,
                                   const state::ApplyResult&) {
    if (record.writer != self_) return;
    applied_sequence_ = std::max(applied_sequence_, record.sequence);
    if (const auto* placed = std::get_if<records::RunPlaced>(&record.body)) {
      planner_->OnDecisionResolved(placed->run.job);
    } else if (const auto* evicted =
                   std::get_if<records::RunEvicted>(&record.body)) {
      planner_->OnDecisionResolved(evicted->run.job);
    } else if (const auto* claimed =
                   std::get_if<records::VmClaimed>(&record.body)) {
      pending_claims_.erase(claimed->vm);
    } else if (const auto* standby =
                   std::get_if<records::VmStandby>(&record.body)) {
      pending_claims_.erase(standby->vm);
    }
  });
}

void SimEntry::Start() {
  if (!IsOk(replica_->Load())) return;
  loaded_ = true;
  self_.incarnation = replica_->Read([this](const state::ClusterState& state) {
    return replica::NextIncarnation(state, self_.name, world_.clock.Wall(),
                                    world_.random);
  });
  records::EntrySpec spec;
  spec.vm = "vm-of-" + self_.name;
  Submit(records::EntryJoined{spec});
}

void SimEntry::Submit(records::RecordBody body, std::string actor) {
  records::Record record;
  record.cell = kCell;
  record.writer = self_;
  record.wall_ms = world_.clock.Wall().count;
  record.actor = std::move(actor);
  record.body = std::move(body);
  record.sequence = ++last_sequence_;
  queue_.push_back(std::move(record));
}

void SimEntry::Step() {
  if (paused_) return;
  if (!loaded_) {
    Start();
    return;
  }
  const Millis now = world_.clock.Monotonic();
  pause_detector_->Step(now, world_.clock.Wall());
  // Replay may lag behind the log, so only most of the steps read.
  if (world_.random.Chance(0.8)) replica_->Poll({});
  CheckConfig();
  StepMessages();
  StepWriter();
  const bool live = replica_->Read(
      [this](const state::ClusterState& state) { return state.IsLive(self_); });
  if (!live) {
    // The cell rejected or fenced this entry, which ends the process; the
    // process manager starts a new one.
    if (applied_sequence_ > 0) Restart();
    return;
  }
  StepDecisions();
  StepLeases();
}

void SimEntry::StepWriter() {
  if (!delayed_appends_.empty() && world_.random.Chance(0.2)) {
    FakeLog(world_.log).Append(kCell, delayed_appends_.back());
    delayed_appends_.pop_back();
  }
  if (!in_flight_.empty() && in_flight_.back().sequence <= applied_sequence_) {
    in_flight_.clear();
  }
  if (in_flight_.empty() && !queue_.empty()) {
    in_flight_.assign(queue_.begin(), queue_.end());
    queue_.clear();
  }
  if (in_flight_.empty() || !world_.random.Chance(0.5)) return;
  const records::Bytes payload =
      records::Encode(records::RecordBatch{in_flight_});
  // Some appends are duplicated; the duplicate is delayed and can reach the log
  // after later appends.
  if (world_.random.Chance(0.1)) delayed_appends_.push_back(payload);
  FakeLog(world_.log).Append(kCell, payload);
}

void SimEntry::StepDecisions() {
  const bool log_is_down = world_.log.Faults().down;
  if (log_is_down) return;
  std::vector<records::RecordBody> bodies;
  replica_->Read([&](const state::ClusterState& state) {
    for (const auto& claim :
         lease::PlanClaims(state, self_, world_.entries_up)) {
      if (pending_claims_.insert(claim.vm).second) bodies.emplace_back(claim);
    }
    for (const auto& standby :
         lease::PlanStandbys(state, self_, world_.entries_up)) {
      if (pending_claims_.insert(standby.vm).second)
        bodies.emplace_back(standby);
    }
    for (auto& body : planner_->Plan(state, self_.name, world_.entries_up,
                                     world_.clock.Wall())) {
      bodies.push_back(std::move(body));
    }
    if (world_.random.Chance(0.1)) {
      for (auto& body :
           entry::DiffVmList(state, world_.List(), missed_list_counts_)) {
        bodies.push_back(std::move(body));
      }
    }
    return 0;
  });
  for (auto& body : bodies) Submit(std::move(body));
}

void SimEntry::StepLeases() {
  const Millis now = world_.clock.Monotonic();
  const bool fresh = pause_detector_->IsFresh(replica_->FreshAsOf());
  const auto views = replica_->Read([this](const state::ClusterState& state) {
    std::vector<lease::VmView> found;
    for (const auto& [name, vm] : state.VmTable()) {
      if (vm.owner == self_ || vm.renewers.contains(self_)) {
        found.push_back(lease::ViewOf(state, vm, self_));
        found.back().owner_unreachable =
            !world_.entries_up.contains(vm.owner.name);
      }
    }
    return found;
  });
  for (const auto& view : views) {
    auto& supervisor =
        supervisors_.try_emplace(view.vm, settings_).first->second;
    if (!world_.log.Faults().down) {
      for (auto& body : supervisor.NextRecords(view, now)) {
        Submit(std::move(body));
      }
    }
    auto request = supervisor.NextSync(view, now, fresh);
    if (!request) continue;
    SyncMessage message;
    message.vm = view.vm;
    message.request = std::move(*request);
    message.send_at =
        now + Millis(static_cast<std::int64_t>(world_.random.Below(1'500)));
    message.timeout_at = now + kSyncTimeout;
    message.reply_lost = world_.random.Chance(0.05);
    sync_messages_.push_back(std::move(message));
  }
}

void SimEntry::StepMessages() {
  const Millis now = world_.clock.Monotonic();
  for (auto& message : sync_messages_) {
    // A message is sent only while the process runs, possibly long after its
    // scheduled time. After the time-out the connection is closed, so that the
    // message can no longer arrive.
    if (!message.sent && message.send_at <= now) Deliver(message);
  }
  std::vector<SyncMessage> pending;
  for (auto& message : sync_messages_) {
    const bool replied = message.reply && !message.reply_lost;
    auto supervisor = supervisors_.find(message.vm);
    if (replied) {
      supervisor->second.OnSyncDone(*message.reply, now);
    } else if (message.timeout_at <= now) {
      supervisor->second.OnSyncDone(
          Error{ErrorCode::kTimeout, "sync", message.vm,
                "the worker did not respond"},
          now);
    } else {
      pending.push_back(std::move(message));
    }
  }
  sync_messages_ = std::move(pending);
}

void SimEntry::Deliver(SyncMessage& message) {
  message.sent = true;
  const auto vm = world_.vms.find(message.vm);
  if (vm == world_.vms.end() || !vm->second.alive) return;
  if (vm->second.unreachable_from.contains(self_.name)) return;
  message.reply =
      vm->second.worker.Sync(message.request, world_.clock.Monotonic());
}

void SimEntry::CheckConfig() {
  replica_->Read([this](const state::ClusterState& state) {
    for (const auto& [key, value] : state.ConfigTable()) {
      std::int64_t& highest_version = config_versions_[key];
      if (value.version < highest_version)
        violations_.push_back("config " + key +
                              " reverted to an older version");
      highest_version = value.version;
    }
    for (const auto& [key, version] : config_versions_) {
      if (!state.ConfigTable().contains(key) && loaded_) {
        violations_.push_back("config " + key +
                              " is missing after it was seen");
      }
    }
    return 0;
  });
}

}  // namespace basilspur::fakes
