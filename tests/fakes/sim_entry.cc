#include "fakes/sim_entry.h"

#include <algorithm>
#include <utility>

#include "entry/directory_watcher.h"
#include "lease/claim_planner.h"
#include "lease/vm_view.h"
#include "records/codec.h"
#include "replica/incarnation.h"

namespace basilspur::fakes {

static constexpr char kCell[] = "cell-0";
static constexpr Millis kMessageTimeout(2'000);

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
  pauses_ = std::make_unique<lease::PauseDetector>(settings_.pause_threshold);
  supervisors_.clear();
  absences_.clear();
  messages_.clear();
  queue_.clear();
  in_flight_.clear();
  last_sequence_ = 0;
  judged_sequence_ = 0;
  claiming_.clear();
  replica_->OnRecordApplied([this](const records::Record& record,
                                   const state::ApplyResult&) {
    if (record.writer != self_) return;
    judged_sequence_ = std::max(judged_sequence_, record.sequence);
    if (const auto* placed = std::get_if<records::RunPlaced>(&record.body)) {
      planner_->OnDecisionResolved(placed->run.job);
    } else if (const auto* evicted =
                   std::get_if<records::RunEvicted>(&record.body)) {
      planner_->OnDecisionResolved(evicted->run.job);
    } else if (const auto* claimed =
                   std::get_if<records::VmClaimed>(&record.body)) {
      claiming_.erase(claimed->vm);
    } else if (const auto* standby =
                   std::get_if<records::VmStandby>(&record.body)) {
      claiming_.erase(standby->vm);
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
  pauses_->Step(now, world_.clock.Wall());
  // Reading may lag behind: most steps read, some don't.
  if (world_.random.Chance(0.8)) replica_->Poll({});
  CheckConfig();
  StepMessages();
  StepWriter();
  const bool live = replica_->Read(
      [this](const state::ClusterState& state) { return state.IsLive(self_); });
  if (!live) {
    // Refused, or fenced: whoever runs the process starts it anew.
    if (judged_sequence_ > 0) Restart();
    return;
  }
  StepDecisions();
  StepLeases();
}

void SimEntry::StepWriter() {
  if (!late_.empty() && world_.random.Chance(0.2)) {
    FakeLog(world_.log).Append(kCell, late_.back());
    late_.pop_back();
  }
  if (!in_flight_.empty() && in_flight_.back().sequence <= judged_sequence_) {
    in_flight_.clear();
  }
  if (in_flight_.empty() && !queue_.empty()) {
    in_flight_.assign(queue_.begin(), queue_.end());
    queue_.clear();
  }
  if (in_flight_.empty() || !world_.random.Chance(0.5)) return;
  const records::Bytes payload =
      records::Encode(records::RecordBatch{in_flight_});
  // Some appends stay on their way and arrive after later ones.
  if (world_.random.Chance(0.1)) late_.push_back(payload);
  FakeLog(world_.log).Append(kCell, payload);
}

void SimEntry::StepDecisions() {
  const bool log_is_down = world_.log.Faults().down;
  if (log_is_down) return;
  std::vector<records::RecordBody> bodies;
  replica_->Read([&](const state::ClusterState& state) {
    for (const auto& claim :
         lease::PlanClaims(state, self_, world_.entries_up)) {
      if (claiming_.insert(claim.vm).second) bodies.emplace_back(claim);
    }
    for (const auto& standby :
         lease::PlanStandbys(state, self_, world_.entries_up)) {
      if (claiming_.insert(standby.vm).second) bodies.emplace_back(standby);
    }
    for (auto& body : planner_->Plan(state, self_.name, world_.entries_up,
                                     world_.clock.Wall())) {
      bodies.push_back(std::move(body));
    }
    if (world_.random.Chance(0.1)) {
      for (auto& body :
           entry::CompareWithList(state, world_.List(), absences_)) {
        bodies.push_back(std::move(body));
      }
    }
    return 0;
  });
  for (auto& body : bodies) Submit(std::move(body));
}

void SimEntry::StepLeases() {
  const Millis now = world_.clock.Monotonic();
  const bool fresh = pauses_->IsFresh(replica_->FreshAsOf());
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
    Message message;
    message.vm = view.vm;
    message.request = std::move(*request);
    message.deliver_at =
        now + Millis(static_cast<std::int64_t>(world_.random.Below(1'500)));
    message.give_up_at = now + kMessageTimeout;
    message.reply_lost = world_.random.Chance(0.05);
    messages_.push_back(std::move(message));
  }
}

void SimEntry::StepMessages() {
  const Millis now = world_.clock.Monotonic();
  for (auto& message : messages_) {
    // The bytes leave the process only while it runs, however late that is;
    // after giving up, the closed connection keeps them from arriving.
    if (!message.sent && message.deliver_at <= now) Deliver(message);
  }
  std::vector<Message> open;
  for (auto& message : messages_) {
    const bool answered = message.reply && !message.reply_lost;
    auto supervisor = supervisors_.find(message.vm);
    if (answered) {
      supervisor->second.OnSyncDone(*message.reply, now);
    } else if (message.give_up_at <= now) {
      supervisor->second.OnSyncDone(
          Error{ErrorCode::kTimeout, "sync", message.vm, "no answer"}, now);
    } else {
      open.push_back(std::move(message));
    }
  }
  messages_ = std::move(open);
}

void SimEntry::Deliver(Message& message) {
  message.sent = true;
  const auto vm = world_.vms.find(message.vm);
  if (vm == world_.vms.end() || !vm->second.alive) return;
  if (vm->second.cut_from.contains(self_.name)) return;
  message.reply =
      vm->second.worker.Sync(message.request, world_.clock.Monotonic());
}

void SimEntry::CheckConfig() {
  replica_->Read([this](const state::ClusterState& state) {
    for (const auto& [key, value] : state.ConfigTable()) {
      std::int64_t& seen = config_versions_[key];
      if (value.version < seen)
        faults_.push_back("config " + key + " reverted");
      seen = value.version;
    }
    for (const auto& [key, version] : config_versions_) {
      if (!state.ConfigTable().contains(key) && loaded_) {
        faults_.push_back("config " + key + " vanished");
      }
    }
    return 0;
  });
}

}  // namespace basilspur::fakes
