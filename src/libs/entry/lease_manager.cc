#include "entry/lease_manager.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "entry/membership.h"
#include "entry/pressure_manager.h"
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

class LeaseManager::Private {
 public:
  Private(records::EntryRef self, const lease::LeaseSettings& settings,
          Millis worker_timeout, const replica::Replica& replica,
          replica::LogWriter& writer, const Membership& membership,
          std::unique_ptr<PressureManager> pressure, metrics::Registry& metrics,
          const Clock& clock)
      : self_(std::move(self)),
        settings_(settings),
        replica_(replica),
        writer_(writer),
        membership_(membership),
        pressure_(std::move(pressure)),
        clock_(clock),
        pause_detector_(settings.pause_threshold),
        workers_(infra::MakeHttpWorkerService(io_, worker_timeout)),
        renewals_(metrics.Counter("basilspur_lease_renewals_total")),
        renewal_failures_(
            metrics.Counter("basilspur_lease_renewal_failures_total")),
        owned_vms_(metrics.Gauge("basilspur_vms_owned")),
        interference_evictions_(metrics.Counter(
            "basilspur_evictions_total", {{"reason", "interference"}})) {}

  void Start() {
    asio::co_spawn(io_, StepLoop(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  void ReleaseAll() { releasing_ = true; }

  bool HasReleasedAll() const {
    return replica_.Read([this](const state::ClusterState& state) {
      for (const auto& [name, vm] : state.VmTable()) {
        if (vm.renewers.contains(self_)) return false;
      }
      return true;
    });
  }

  std::string RunEndObstacleOf(const std::string& job) const {
    const std::lock_guard lock(run_end_obstacles_mutex_);
    const auto found = run_end_obstacles_.find(job);
    return found == run_end_obstacles_.end() ? "" : found->second;
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
    std::map<std::string, std::string> run_end_obstacles;
    const std::set<std::string> up = membership_.EntriesUp();
    for (auto& [vm, view] : views_) {
      view.owner_unreachable = !up.contains(view.owner);
      VmSupervisor& supervisor =
          supervisors_.try_emplace(vm, settings_).first->second;
      StepVm(view, supervisor, now, fresh);
      const std::string obstacle = supervisor.RunEndObstacle(view, now);
      if (obstacle.empty()) continue;
      for (const auto& run : view.runs)
        run_end_obstacles[run.run.job] = obstacle;
    }
    RemoveUnusedSupervisors();
    if (pressure_) pressure_->Step(now);
    owned_vms_ =
        std::count_if(views_.begin(), views_.end(),
                      [](const auto& item) { return item.second.owned; });
    const std::lock_guard lock(run_end_obstacles_mutex_);
    run_end_obstacles_ = std::move(run_end_obstacles);
  }

  void RefreshViews(Millis now) {
    const bool releasing = releasing_;
    const bool changed = replica_.Read([&](const state::ClusterState& state) {
      const bool is_same = state.Offset() == views_offset_;
      if (is_same && releasing == releasing_in_views_) return false;
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
    releasing_in_views_ = releasing;
    for (const auto& [name, vm] : state.VmTable()) {
      if (vm.owner != self_ && !vm.renewers.contains(self_)) continue;
      VmView& view = views_[name];
      view = lease::ViewOf(state, vm, self_);
      view.stopping = releasing;
      view.services = mix_builder_.ServicesOn(state, name);
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
    renewals_ += static_cast<std::int64_t>(request->commands.size());
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
      ++renewal_failures_;
      kLog.Warning("Message to the worker of VM " + vm +
                   " failed; the next one is sent when a renewal is due. " +
                   ErrorOf(reply).ToString() + ".");
    }
    const auto supervisor = supervisors_.find(vm);
    if (supervisor == supervisors_.end()) return;
    supervisor->second.OnSyncDone(reply, clock_.Monotonic());
    const auto view = views_.find(vm);
    const bool owned = view != views_.end() && view->second.owned;
    if (!pressure_ || !IsOk(reply) || !owned) return;
    ProcessReports(view->second, ValueOf(reply));
  }

  void ProcessReports(VmView& view, const infra::SyncReply& reply) {
    const auto evicted =
        pressure_->OnReports(view, reply.reports, clock_.Monotonic());
    MarkThrottled(view);
    if (!evicted) return;
    ++interference_evictions_;
    kLog.Info("Evicting run " + evicted->ToString() +
              " because it slows services on VM " + view.vm + " down.");
    const Status queued = writer_.Submit(
        records::RunEvicted{*evicted, "slows services down"}, "", nullptr);
    if (!IsOk(queued)) kLog.Debug(ErrorOf(queued).ToString() + ".");
  }

  void RemoveUnusedSupervisors() {
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
  const Membership& membership_;
  const std::unique_ptr<PressureManager> pressure_;
  const Clock& clock_;
  lease::PauseDetector pause_detector_;
  asio::io_context io_{1};
  std::unique_ptr<infra::WorkerService> workers_;
  metrics::ScalarMetric& renewals_;
  metrics::ScalarMetric& renewal_failures_;
  metrics::ScalarMetric& owned_vms_;
  metrics::ScalarMetric& interference_evictions_;
  interference::MixBuilder mix_builder_;
  std::map<std::string, VmView> views_;
  std::int64_t views_offset_ = -1;
  bool releasing_in_views_ = false;
  std::map<std::string, VmSupervisor> supervisors_;
  std::atomic<bool> releasing_{false};
  mutable std::mutex run_end_obstacles_mutex_;
  std::map<std::string, std::string> run_end_obstacles_;
  std::thread thread_;
};

LeaseManager::LeaseManager(records::EntryRef self,
                           const lease::LeaseSettings& settings,
                           Millis worker_timeout,
                           const replica::Replica& replica,
                           replica::LogWriter& writer,
                           const Membership& membership,
                           std::unique_ptr<PressureManager> pressure,
                           metrics::Registry& metrics, const Clock& clock)
    : d_(std::make_unique<Private>(std::move(self), settings, worker_timeout,
                                   replica, writer, membership,
                                   std::move(pressure), metrics, clock)) {}

LeaseManager::~LeaseManager() { Stop(); }

void LeaseManager::Start() { d_->Start(); }

void LeaseManager::Stop() { d_->Stop(); }

void LeaseManager::ReleaseAll() { d_->ReleaseAll(); }

bool LeaseManager::HasReleasedAll() const { return d_->HasReleasedAll(); }

std::string LeaseManager::RunEndObstacleOf(const std::string& job) const {
  return d_->RunEndObstacleOf(job);
}

}  // namespace basilspur::entry
