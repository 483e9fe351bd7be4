#include "entry/lease_keeper.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "entry/presence.h"
#include "entry/pressure_keeper.h"
#include "infra/http_infra.h"
#include "interference/mix_builder.h"
#include "lease/pause_detector.h"
#include "lease/vm_supervisor.h"
#include "lease/vm_view.h"
#include "net/asio.h"

namespace basilspur::entry {

namespace asio = net::asio;
using lease::VmSupervisor;
using lease::VmView;

static constexpr LogCategory kLog("lease");
static constexpr Millis kStepInterval(50);

class LeaseKeeper::Private {
 public:
  Private(records::EntryRef self, const lease::LeaseSettings& settings,
          Millis worker_timeout, const replica::Replica& replica,
          replica::LogWriter& writer, const Presence& presence,
          std::unique_ptr<PressureKeeper> pressure, metrics::Registry& metrics,
          const Clock& clock)
      : self_(std::move(self)),
        settings_(settings),
        replica_(replica),
        writer_(writer),
        presence_(presence),
        pressure_(std::move(pressure)),
        clock_(clock),
        pause_detector_(settings.pause_threshold),
        workers_(infra::MakeHttpWorkerService(io_, worker_timeout)),
        renewals_(metrics.Counter("basilspur_lease_renewals_total")),
        failures_(metrics.Counter("basilspur_lease_renewal_failures_total")),
        owned_(metrics.Gauge("basilspur_vms_owned")),
        evictions_(metrics.Counter("basilspur_evictions_total",
                                   {{"reason", "interference"}})) {}

  void Start() {
    asio::co_spawn(io_, StepLoop(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  void ReleaseAll() { releasing_ = true; }

  bool HoldsNothing() const {
    return replica_.Read([this](const state::ClusterState& state) {
      for (const auto& [name, vm] : state.VmTable()) {
        if (vm.renewers.contains(self_)) return false;
      }
      return true;
    });
  }

  std::string ObstacleOf(const std::string& job) const {
    const std::lock_guard lock(obstacles_mutex_);
    const auto found = obstacles_.find(job);
    return found == obstacles_.end() ? "" : found->second;
  }

 private:
  asio::awaitable<void> StepLoop() {
    for (;;) {
      co_await net::Sleep(kStepInterval);
      Step();
    }
  }

  void Step() {
    const Millis now = clock_.Monotonic();
    pause_detector_.Step(now, clock_.Wall());
    const bool fresh = pause_detector_.IsFresh(replica_.FreshAsOf());
    RefreshViews(now);
    std::map<std::string, std::string> obstacles;
    const std::set<std::string> up = presence_.EntriesUp();
    for (auto& [vm, view] : views_) {
      view.owner_unreachable = !up.contains(view.owner);
      VmSupervisor& supervisor =
          supervisors_.try_emplace(vm, settings_).first->second;
      StepVm(view, supervisor, now, fresh);
      const std::string obstacle = supervisor.RunEndObstacle(view, now);
      if (obstacle.empty()) continue;
      for (const auto& run : view.runs) obstacles[run.run.job] = obstacle;
    }
    DropUnused();
    if (pressure_) pressure_->Step(now);
    owned_ = std::count_if(views_.begin(), views_.end(),
                           [](const auto& item) { return item.second.owned; });
    const std::lock_guard lock(obstacles_mutex_);
    obstacles_ = std::move(obstacles);
  }

  void RefreshViews(Millis now) {
    const bool releasing = releasing_;
    const bool changed = replica_.Read([&](const state::ClusterState& state) {
      const bool is_same = state.Offset() == views_offset_;
      if (is_same && releasing == views_releasing_) return false;
      CollectViews(state, releasing);
      return true;
    });
    if (!changed || !pressure_) return;
    for (auto& [vm, view] : views_) {
      if (!view.owned) continue;
      pressure_->OnView(view, now);
      MarkThrottled(view);
    }
  }

  void MarkThrottled(VmView& view) const {
    for (auto& run : view.runs) {
      run.throttled = pressure_->IsThrottled(view.vm, run.run);
    }
  }

  void CollectViews(const state::ClusterState& state, bool releasing) {
    views_.clear();
    views_offset_ = state.Offset();
    views_releasing_ = releasing;
    for (const auto& [name, vm] : state.VmTable()) {
      if (vm.owner != self_ && !vm.renewers.contains(self_)) continue;
      VmView& view = views_[name];
      view = lease::ViewOf(state, vm, self_);
      view.stopping = releasing;
      view.services = mixes_.ServicesOn(state, name);
    }
  }

  void StepVm(const VmView& view, VmSupervisor& supervisor, Millis now,
              bool fresh) {
    for (auto& body : supervisor.NextRecords(view, now)) {
      const Status queued = writer_.Submit(std::move(body), "", nullptr);
      if (!IsOk(queued)) kLog.Debug(ErrorOf(queued).ToString() + ".");
    }
    const auto request = supervisor.NextSync(view, now, fresh);
    if (!request) return;
    renewals_ += static_cast<std::int64_t>(request->orders.size());
    infra::SyncRequest message = *request;
    message.sender = self_;
    workers_->Sync(view.worker_address, message,
                   [this, vm = view.vm](Result<infra::SyncReply> reply) {
                     OnSyncDone(vm, reply);
                   });
  }

  void OnSyncDone(const std::string& vm,
                  const Result<infra::SyncReply>& reply) {
    if (!IsOk(reply)) {
      ++failures_;
      kLog.Warning("Worker of VM " + vm + " gave no answer. " +
                   ErrorOf(reply).ToString() + ".");
    }
    const auto supervisor = supervisors_.find(vm);
    if (supervisor == supervisors_.end()) return;
    supervisor->second.OnSyncDone(reply, clock_.Monotonic());
    const auto view = views_.find(vm);
    const bool owned = view != views_.end() && view->second.owned;
    if (!pressure_ || !IsOk(reply) || !owned) return;
    AnswerPressure(view->second, ValueOf(reply));
  }

  void AnswerPressure(VmView& view, const infra::SyncReply& reply) {
    const auto evicted =
        pressure_->OnReports(view, reply.reports, clock_.Monotonic());
    MarkThrottled(view);
    if (!evicted) return;
    ++evictions_;
    kLog.Info("Evicts run " + evicted->ToString() +
              ". It slows services on VM " + view.vm + " down.");
    const Status queued = writer_.Submit(
        records::RunEvicted{*evicted, "slows services down"}, "", nullptr);
    if (!IsOk(queued)) kLog.Debug(ErrorOf(queued).ToString() + ".");
  }

  void DropUnused() {
    std::erase_if(supervisors_, [&](const auto& item) {
      const bool unused = !views_.contains(item.first) && item.second.IsIdle();
      if (unused && pressure_) pressure_->RemoveVm(item.first);
      return unused;
    });
  }

  const records::EntryRef self_;
  const lease::LeaseSettings settings_;
  const replica::Replica& replica_;
  replica::LogWriter& writer_;
  const Presence& presence_;
  const std::unique_ptr<PressureKeeper> pressure_;
  const Clock& clock_;
  lease::PauseDetector pause_detector_;
  asio::io_context io_{1};
  std::unique_ptr<infra::WorkerService> workers_;
  metrics::ScalarMetric& renewals_;
  metrics::ScalarMetric& failures_;
  metrics::ScalarMetric& owned_;
  metrics::ScalarMetric& evictions_;
  interference::MixBuilder mixes_;
  std::map<std::string, VmView> views_;
  std::int64_t views_offset_ = -1;
  bool views_releasing_ = false;
  std::map<std::string, VmSupervisor> supervisors_;
  std::atomic<bool> releasing_{false};
  mutable std::mutex obstacles_mutex_;
  std::map<std::string, std::string> obstacles_;
  std::thread thread_;
};

LeaseKeeper::LeaseKeeper(records::EntryRef self,
                         const lease::LeaseSettings& settings,
                         Millis worker_timeout, const replica::Replica& replica,
                         replica::LogWriter& writer, const Presence& presence,
                         std::unique_ptr<PressureKeeper> pressure,
                         metrics::Registry& metrics, const Clock& clock)
    : d_(std::make_unique<Private>(std::move(self), settings, worker_timeout,
                                   replica, writer, presence,
                                   std::move(pressure), metrics, clock)) {}

LeaseKeeper::~LeaseKeeper() { Stop(); }

void LeaseKeeper::Start() { d_->Start(); }

void LeaseKeeper::Stop() { d_->Stop(); }

void LeaseKeeper::ReleaseAll() { d_->ReleaseAll(); }

bool LeaseKeeper::HoldsNothing() const { return d_->HoldsNothing(); }

std::string LeaseKeeper::ObstacleOf(const std::string& job) const {
  return d_->ObstacleOf(job);
}

}  // namespace basilspur::entry
