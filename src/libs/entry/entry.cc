#include "entry/entry.h"

#include <atomic>
#include <future>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "base/logging.h"
#include "entry/lease_manager.h"
#include "entry/membership.h"
#include "entry/placement_controller.h"
#include "entry/pressure_manager.h"
#include "entry/route_updater.h"
#include "entry/snapshotter.h"
#include "entry/status_server.h"
#include "entry/vm_list_poller.h"
#include "front/front.h"
#include "infra/http_infra.h"
#include "interference/interference_model.h"
#include "interference/profile.h"
#include "link/peer_mesh.h"
#include "metrics/registry.h"
#include "operators/operator_service.h"
#include "placement/interference_scorer.h"
#include "replica/incarnation.h"
#include "replica/log_writer.h"
#include "replica/replica.h"
#include "resend/at_most_once_gate.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("entry");
static constexpr std::chrono::seconds kJoinTimeout(10);
static constexpr Millis kReleaseTimeout(5'000);
static constexpr Millis kReleasePollInterval(20);
static constexpr Millis kOperatorStopTimeout(2'000);
static constexpr char kFirstFitProfile[] = "first-fit";
static constexpr char kLogLevelKey[] = "logging.level";

static void Sleep(Millis duration) {
  std::this_thread::sleep_for(std::chrono::milliseconds(duration.count));
}

class Entry::Private {
 public:
  explicit Private(settings::Settings settings)
      : settings_(std::move(settings)),
        replica_(MakeLog(), settings_.cell, clock_) {}

  Status Start() {
    Status loaded = replica_.Load();
    if (!IsOk(loaded)) return loaded;
    CreateComponents();
    Status linked = mesh_->Start(settings_.links_address);
    if (!IsOk(linked)) return linked;
    Status joined = Join();
    if (!IsOk(joined)) return joined;
    Status serving = StartServing();
    if (!IsOk(serving)) return serving;
    kLog.Info("Entry " + self_.name + " incarnation " +
              std::to_string(self_.incarnation) +
              " has joined the cell and accepts requests.");
    return {};
  }

  std::int64_t Stop() {
    kLog.Info(
        "Stopping: reports not ready, drains requests, then releases its "
        "leases and leaves the cell.");
    stopping_ = true;
    membership_->MarkStopping();
    mesh_->AnnounceStop();
    const std::int64_t aborted_requests = front_->Drain(
        Millis(settings_.drain_grace_ms), Millis(settings_.drain_limit_ms));
    ReleaseLeasesAndLeave();
    StopRemainingThreads();
    kLog.Info("Stopped. Requests aborted at the drain limit: " +
              std::to_string(aborted_requests) + ".");
    return aborted_requests;
  }

  bool IsFenced() const { return membership_ && !membership_->IsSelfLive(); }

 private:
  std::unique_ptr<infra::LogService> MakeLog() const {
    return infra::MakeHttpLogService(settings_.log_address,
                                     Millis(settings_.platform_timeout_ms));
  }

  /// Creates the components. Precondition: the log has been loaded, as it
  /// determines the incarnation of this process.
  void CreateComponents() {
    self_.name = settings_.entry_name;
    self_.incarnation = replica_.Read([this](const state::ClusterState& state) {
      Random random(std::random_device{}());
      return replica::NextIncarnation(state, settings_.entry_name,
                                      clock_.Wall(), random);
    });
    writer_ = std::make_unique<replica::LogWriter>(MakeLog(), settings_.cell,
                                                   self_, clock_);
    mesh_ = std::make_unique<link::PeerMesh>(
        self_, clock_,
        [this](const records::EntryRef& peer, const link::Message& message) {
          if (const auto* report =
                  std::get_if<link::InterferenceReport>(&message)) {
            interference_.MergePeerEstimates(peer.name, report->estimates);
            return;
          }
          gate_->OnMessage(peer.name, message);
          front_->OnMessage(peer.name, message);
        });
    membership_ = std::make_unique<Membership>(self_, replica_, *mesh_, clock_);
    gate_ =
        std::make_unique<resend::AtMostOnceGate>(clock_, MakeGateCallbacks());
    front_ = std::make_unique<front::Front>(MakeFrontOptions(), clock_, *gate_,
                                            metrics_, MakeSendFunction());
    route_updater_ = std::make_unique<RouteUpdater>(
        self_, replica_, *membership_, *mesh_, *front_);
    lease_manager_ = std::make_unique<LeaseManager>(
        self_, MakeLeaseSettings(), Millis(settings_.platform_timeout_ms),
        replica_, *writer_, *membership_, MakePressureManager(), metrics_,
        clock_);
    placement_controller_ = std::make_unique<PlacementController>(
        self_, replica_, *writer_, *membership_, MakeScorer(), metrics_,
        clock_);
    vm_list_poller_ = std::make_unique<VmListPoller>(
        self_,
        infra::MakeHttpVmDirectory(settings_.vm_directory_address,
                                   Millis(settings_.platform_timeout_ms)),
        Millis(settings_.vm_list_interval_ms), replica_, *writer_,
        *membership_);
    snapshotter_ = std::make_unique<Snapshotter>(
        self_, settings_.cell, MakeLog(),
        SnapshotSchedule{settings_.snapshot_interval_records,
                         Millis(settings_.snapshot_interval_ms)},
        replica_, *writer_, *membership_, clock_);
    operator_service_ = std::make_unique<operators::OperatorService>(
        operators::OperatorServiceDependencies{
            self_, replica_, *writer_, metrics_,
            [this](const std::string& job) {
              return lease_manager_->RunEndObstacleOf(job);
            },
            [this] { RefreshGauges(); },
            [this] { return route_updater_->OffsetInForce(); }});
    status_server_ =
        std::make_unique<StatusServer>(metrics_, MakeStatusCallbacks());
    replica_.OnRecordApplied([this](const records::Record& record,
                                    const state::ApplyResult& result) {
      writer_->OnRecordApplied(record, result);
    });
    replica_.OnChange([this] {
      membership_->Update();
      ApplyConfig();
      route_updater_->RequestUpdate();
    });
  }

  /// The interference profile of the settings; null for first-fit placement,
  /// which ignores interference.
  const interference::Profile* SelectedProfile() const {
    if (settings_.placement_profile == kFirstFitProfile) return nullptr;
    return &interference::ProfileNamed(settings_.placement_profile);
  }

  std::unique_ptr<PressureManager> MakePressureManager() {
    if (SelectedProfile() == nullptr) return nullptr;
    return std::make_unique<PressureManager>(
        *SelectedProfile(), interference_, metrics_,
        [this](const link::Message& message) {
          for (const auto& peer : membership_->EntriesUp()) {
            if (peer != self_.name) mesh_->Send(peer, message);
          }
        });
  }

  std::unique_ptr<placement::VmScorer> MakeScorer() {
    if (SelectedProfile() == nullptr) {
      return std::make_unique<placement::FirstFitScorer>();
    }
    return std::make_unique<placement::InterferenceScorer>(interference_,
                                                           *SelectedProfile());
  }

  front::Front::Send MakeSendFunction() {
    return [this](const std::string& peer, const link::Message& message) {
      return mesh_->Send(peer, message);
    };
  }

  resend::AtMostOnceGateCallbacks MakeGateCallbacks() {
    return {MakeSendFunction(),
            [this](Millis age) { return membership_->PeersToQueryFor(age); },
            [this] { return membership_->IsKnownToAll(); }};
  }

  front::FrontOptions MakeFrontOptions() const {
    front::FrontOptions options;
    options.address = settings_.callers_address;
    options.picker = settings_.picker;
    options.request_id_prefix =
        self_.name + "-" + std::to_string(self_.incarnation) + "-";
    options.max_header_bytes = settings_.max_header_bytes;
    options.max_body_bytes = settings_.max_body_bytes;
    options.header_timeout = Millis(settings_.header_timeout_ms);
    options.body_idle_timeout = Millis(settings_.body_idle_timeout_ms);
    options.max_connections = settings_.max_caller_connections;
    options.seed = static_cast<std::uint64_t>(clock_.Wall().count);
    return options;
  }

  lease::LeaseSettings MakeLeaseSettings() const {
    lease::LeaseSettings settings;
    settings.length = Millis(settings_.lease_length_ms);
    settings.renew_interval = Millis(settings_.lease_renew_interval_ms);
    settings.clock_drift = Millis(settings_.clock_drift_ms);
    return settings;
  }

  /// Records that this entry joins, and waits for the result, so that the entry
  /// is a member of the cell before it accepts requests.
  Status Join() {
    replica_.Start();
    writer_->Start();
    const auto promise = std::make_shared<std::promise<state::ApplyResult>>();
    std::future<state::ApplyResult> result = promise->get_future();
    const records::EntrySpec spec{
        settings_.data_center, settings_.callers_address,
        settings_.links_address, settings_.operators_address, settings_.vm};
    Status queued =
        writer_->Submit(records::EntryJoined{spec}, "",
                        [promise](const state::ApplyResult& applied) {
                          promise->set_value(applied);
                        });
    if (!IsOk(queued)) return queued;
    if (result.wait_for(kJoinTimeout) != std::future_status::ready) {
      return Error{
          ErrorCode::kTimeout, "join", settings_.log_address,
          "the record that joins the cell was not read back from the log "
          "within 10 s"};
    }
    const state::ApplyResult applied = result.get();
    if (applied.Accepted()) return {};
    return Error{ErrorCode::kConflict, "join", settings_.cell, applied.reason};
  }

  Status StartServing() {
    Status front = front_->Start();
    if (!IsOk(front)) return front;
    Status operators = operator_service_->Start(settings_.operators_address);
    if (!IsOk(operators)) return operators;
    Status status = status_server_->Start(settings_.status_address);
    if (!IsOk(status)) return status;
    route_updater_->Start();
    lease_manager_->Start();
    placement_controller_->Start();
    vm_list_poller_->Start();
    snapshotter_->Start();
    return {};
  }

  void ApplyConfig() {
    const std::string level =
        replica_.Read([](const state::ClusterState& state) -> std::string {
          const auto found = state.ConfigTable().find(kLogLevelKey);
          return found == state.ConfigTable().end() ? "" : found->second.value;
        });
    LogLevel parsed = LogLevel::kInfo;
    if (ParseLogLevel(level, &parsed)) SetLogLevel(parsed);
  }

  StatusCallbacks MakeStatusCallbacks() {
    StatusCallbacks callbacks;
    callbacks.not_ready_reason = [this]() -> std::string {
      if (stopping_) return "stopping";
      if (IsFenced()) return "fenced by the log";
      if (!membership_->HasInitialView()) return "waiting for links to peers";
      if (route_updater_->OffsetInForce() < 0) return "waiting for routes";
      return "";
    };
    callbacks.refresh_gauges = [this] { RefreshGauges(); };
    return callbacks;
  }

  void RefreshGauges() {
    metrics_.Gauge("basilspur_log_lag_entries") = replica_.Lag();
    metrics_.Gauge("basilspur_log_down") =
        replica_.LogIsDown() || writer_->LogIsDown() ? 1 : 0;
    metrics_.Gauge("basilspur_log_appends") = writer_->AppendCount();
    metrics_.Gauge("basilspur_entries_up") =
        static_cast<std::int64_t>(membership_->EntriesUp().size());
    metrics_.Gauge("basilspur_remembered_requests") =
        static_cast<std::int64_t>(gate_->Size());
    metrics_.Gauge("basilspur_jobs_waiting") =
        replica_.Read([](const state::ClusterState& state) {
          return static_cast<std::int64_t>(state.Waiting().size());
        });
  }

  /// Releases all leases, so that other entries can take them over, and records
  /// that this entry has ended.
  void ReleaseLeasesAndLeave() {
    placement_controller_->Stop();
    snapshotter_->Stop();
    vm_list_poller_->Stop();
    operator_service_->Stop(kOperatorStopTimeout);
    lease_manager_->ReleaseAll();
    const Millis deadline = clock_.Monotonic() + kReleaseTimeout;
    while (!lease_manager_->HasReleasedAll() && clock_.Monotonic() < deadline) {
      Sleep(kReleasePollInterval);
    }
    lease_manager_->Stop();
    if (!lease_manager_->HasReleasedAll()) {
      kLog.Warning(
          "Not all VMs were released within 5 s; the record of this entry's "
          "end releases the others.");
    }
    const auto applied = std::make_shared<std::promise<void>>();
    std::future<void> leave_applied = applied->get_future();
    const Status queued = writer_->Submit(
        records::EntryEnded{self_}, "",
        [applied](const state::ApplyResult&) { applied->set_value(); });
    if (IsOk(queued)) {
      leave_applied.wait_for(std::chrono::milliseconds(kReleaseTimeout.count));
    }
  }

  void StopRemainingThreads() {
    route_updater_->Stop();
    status_server_->Stop();
    replica_.Stop();
    writer_->Stop();
    mesh_->Stop();
    front_.reset();
  }

  const settings::Settings settings_;
  const SystemClock clock_;
  metrics::Registry metrics_;
  interference::InterferenceModel interference_;
  records::EntryRef self_;
  std::atomic<bool> stopping_{false};

  replica::Replica replica_;
  std::unique_ptr<replica::LogWriter> writer_;
  std::unique_ptr<link::PeerMesh> mesh_;
  std::unique_ptr<Membership> membership_;
  std::unique_ptr<resend::AtMostOnceGate> gate_;
  std::unique_ptr<front::Front> front_;
  std::unique_ptr<RouteUpdater> route_updater_;
  std::unique_ptr<LeaseManager> lease_manager_;
  std::unique_ptr<PlacementController> placement_controller_;
  std::unique_ptr<VmListPoller> vm_list_poller_;
  std::unique_ptr<Snapshotter> snapshotter_;
  std::unique_ptr<operators::OperatorService> operator_service_;
  std::unique_ptr<StatusServer> status_server_;
};

Entry::Entry(settings::Settings settings)
    : d_(std::make_unique<Private>(std::move(settings))) {}

Entry::~Entry() = default;

Status Entry::Start() { return d_->Start(); }

std::int64_t Entry::Stop() { return d_->Stop(); }

bool Entry::IsFenced() const { return d_->IsFenced(); }

}  // namespace basilspur::entry
