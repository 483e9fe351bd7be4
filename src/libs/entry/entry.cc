#include "entry/entry.h"

#include <atomic>
#include <future>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "base/clock.h"
#include "base/logging.h"
#include "entry/directory_watcher.h"
#include "entry/lease_keeper.h"
#include "entry/presence.h"
#include "entry/pressure_keeper.h"
#include "entry/route_keeper.h"
#include "entry/snapshotter.h"
#include "entry/status_server.h"
#include "entry/steward.h"
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
#include "resend/once_gate.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("entry");
static constexpr std::chrono::seconds kJoinWait(10);
static constexpr Millis kReleaseLimit(5'000);
static constexpr Millis kStopPollInterval(20);
static constexpr Millis kOperatorStopLimit(2'000);
static constexpr char kFirstFitProfile[] = "first-fit";
static constexpr char kLogLevelKey[] = "logging.level";

static void Pause(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

class Entry::Private {
 public:
  explicit Private(settings::Settings settings)
      : settings_(std::move(settings)),
        replica_(MakeLog(), settings_.cell, clock_) {}

  Status Start() {
    Status loaded = replica_.Load();
    if (!IsOk(loaded)) return loaded;
    Assemble();
    Status linked = mesh_->Start(settings_.links_address);
    if (!IsOk(linked)) return linked;
    Status joined = Join();
    if (!IsOk(joined)) return joined;
    Status serving = Serve();
    if (!IsOk(serving)) return serving;
    kLog.Info("Entry " + self_.name + " incarnation " +
              std::to_string(self_.incarnation) + " serves.");
    return {};
  }

  std::int64_t Stop() {
    kLog.Info("Stop begins.");
    stopping_ = true;
    presence_->StartStopping();
    mesh_->AnnounceStop();
    const std::int64_t cut = front_->Drain(Millis(settings_.drain_grace_ms),
                                           Millis(settings_.drain_limit_ms));
    HandOver();
    StopThreads();
    kLog.Info("Stopped. Requests cut: " + std::to_string(cut) + ".");
    return cut;
  }

  bool IsFenced() const { return presence_ && !presence_->SelfIsLive(); }

 private:
  std::unique_ptr<infra::LogService> MakeLog() const {
    return infra::MakeHttpLogService(settings_.log_address,
                                     Millis(settings_.platform_timeout_ms));
  }

  /// Builds the parts, once the log has told the next incarnation.
  void Assemble() {
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
    presence_ = std::make_unique<Presence>(self_, replica_, *mesh_, clock_);
    gate_ = std::make_unique<resend::OnceGate>(clock_, GateLinks());
    front_ = std::make_unique<front::Front>(FrontOptions(), clock_, *gate_,
                                            metrics_, SendToPeer());
    routes_ = std::make_unique<RouteKeeper>(self_, replica_, *presence_, *mesh_,
                                            *front_);
    keeper_ = std::make_unique<LeaseKeeper>(
        self_, LeaseSettings(), Millis(settings_.platform_timeout_ms), replica_,
        *writer_, *presence_, MakePressureKeeper(), metrics_, clock_);
    steward_ = std::make_unique<Steward>(self_, replica_, *writer_, *presence_,
                                         MakeScorer(), metrics_, clock_);
    watcher_ = std::make_unique<DirectoryWatcher>(
        self_,
        infra::MakeHttpVmDirectory(settings_.vm_directory_address,
                                   Millis(settings_.platform_timeout_ms)),
        Millis(settings_.vm_list_interval_ms), replica_, *writer_, *presence_);
    snapshotter_ = std::make_unique<Snapshotter>(
        self_, settings_.cell, MakeLog(),
        SnapshotSchedule{settings_.snapshot_interval_records,
                         Millis(settings_.snapshot_interval_ms)},
        replica_, *writer_, *presence_, clock_);
    operators_ = std::make_unique<operators::OperatorService>(
        operators::OperatorServiceDependencies{
            self_, replica_, *writer_, metrics_,
            [this](const std::string& job) { return keeper_->ObstacleOf(job); },
            [this] { RefreshGauges(); },
            [this] { return routes_->OffsetInForce(); }});
    status_ = std::make_unique<StatusServer>(metrics_, Probes());
    replica_.OnVerdict(
        [this](const records::Record& record, const state::Verdict& verdict) {
          writer_->OnVerdict(record, verdict);
        });
    replica_.OnChange([this] {
      presence_->Update();
      ApplyConfig();
      routes_->Wake();
    });
  }

  /// Null if the profile pays no heed to interference.
  const interference::Profile* Profile() const {
    if (settings_.placement_profile == kFirstFitProfile) return nullptr;
    return &interference::ProfileNamed(settings_.placement_profile);
  }

  std::unique_ptr<PressureKeeper> MakePressureKeeper() {
    if (Profile() == nullptr) return nullptr;
    return std::make_unique<PressureKeeper>(
        *Profile(), interference_, metrics_,
        [this](const link::Message& message) {
          for (const auto& peer : presence_->EntriesUp()) {
            if (peer != self_.name) mesh_->Send(peer, message);
          }
        });
  }

  std::unique_ptr<placement::VmScorer> MakeScorer() {
    if (Profile() == nullptr) {
      return std::make_unique<placement::FirstFitScorer>();
    }
    return std::make_unique<placement::InterferenceScorer>(interference_,
                                                           *Profile());
  }

  front::Front::Send SendToPeer() {
    return [this](const std::string& peer, const link::Message& message) {
      return mesh_->Send(peer, message);
    };
  }

  resend::OnceGateCallbacks GateLinks() {
    return {SendToPeer(),
            [this](Millis age) { return presence_->PeersFor(age); },
            [this] { return presence_->KnownToAll(); }};
  }

  front::FrontOptions FrontOptions() const {
    front::FrontOptions options;
    options.address = settings_.callers_address;
    options.picker = settings_.picker;
    options.id_prefix =
        self_.name + "-" + std::to_string(self_.incarnation) + "-";
    options.max_header_bytes = settings_.max_header_bytes;
    options.max_body_bytes = settings_.max_body_bytes;
    options.header_timeout = Millis(settings_.header_timeout_ms);
    options.body_idle_timeout = Millis(settings_.body_idle_timeout_ms);
    options.max_connections = settings_.max_caller_connections;
    options.seed = static_cast<std::uint64_t>(clock_.Wall().count);
    return options;
  }

  lease::LeaseSettings LeaseSettings() const {
    lease::LeaseSettings settings;
    settings.length = Millis(settings_.lease_length_ms);
    settings.renew_interval = Millis(settings_.lease_renew_interval_ms);
    settings.clock_drift = Millis(settings_.clock_drift_ms);
    return settings;
  }

  /// The cell learns of this entry before it serves anyone.
  Status Join() {
    replica_.Start();
    writer_->Start();
    const auto promise = std::make_shared<std::promise<state::Verdict>>();
    std::future<state::Verdict> verdict = promise->get_future();
    const records::EntrySpec spec{
        settings_.data_center, settings_.callers_address,
        settings_.links_address, settings_.operators_address, settings_.vm};
    Status queued = writer_->Submit(
        records::EntryJoined{spec}, "",
        [promise](const state::Verdict& given) { promise->set_value(given); });
    if (!IsOk(queued)) return queued;
    if (verdict.wait_for(kJoinWait) != std::future_status::ready) {
      return Error{ErrorCode::kTimeout, "join", settings_.log_address,
                   "the log gave no answer"};
    }
    const state::Verdict given = verdict.get();
    if (given.Accepted()) return {};
    return Error{ErrorCode::kConflict, "join", settings_.cell, given.reason};
  }

  Status Serve() {
    Status front = front_->Start();
    if (!IsOk(front)) return front;
    Status operators = operators_->Start(settings_.operators_address);
    if (!IsOk(operators)) return operators;
    Status status = status_->Start(settings_.status_address);
    if (!IsOk(status)) return status;
    routes_->Start();
    keeper_->Start();
    steward_->Start();
    watcher_->Start();
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

  StatusProbes Probes() {
    StatusProbes probes;
    probes.why_not_ready = [this]() -> std::string {
      if (stopping_) return "stopping";
      if (IsFenced()) return "fenced by the log";
      if (!presence_->HasSettled()) return "waiting for links to peers";
      if (routes_->OffsetInForce() < 0) return "waiting for routes";
      return "";
    };
    probes.refresh_gauges = [this] { RefreshGauges(); };
    return probes;
  }

  void RefreshGauges() {
    metrics_.Gauge("basilspur_log_lag_entries") = replica_.Lag();
    metrics_.Gauge("basilspur_log_down") =
        replica_.LogIsDown() || writer_->LogIsDown() ? 1 : 0;
    metrics_.Gauge("basilspur_log_appends") = writer_->AppendCount();
    metrics_.Gauge("basilspur_entries_up") =
        static_cast<std::int64_t>(presence_->EntriesUp().size());
    metrics_.Gauge("basilspur_remembered_requests") =
        static_cast<std::int64_t>(gate_->Size());
    metrics_.Gauge("basilspur_jobs_waiting") =
        replica_.Read([](const state::ClusterState& state) {
          return static_cast<std::int64_t>(state.Waiting().size());
        });
  }

  /// Gives the leases to the others and leaves the cell.
  void HandOver() {
    steward_->Stop();
    snapshotter_->Stop();
    watcher_->Stop();
    operators_->Stop(kOperatorStopLimit);
    keeper_->ReleaseAll();
    const Millis limit = clock_.Monotonic() + kReleaseLimit;
    while (!keeper_->HoldsNothing() && clock_.Monotonic() < limit) {
      Pause(kStopPollInterval);
    }
    keeper_->Stop();
    if (!keeper_->HoldsNothing()) {
      kLog.Warning("Some leases could not be handed over.");
    }
    const auto judged = std::make_shared<std::promise<void>>();
    std::future<void> left = judged->get_future();
    const Status queued = writer_->Submit(
        records::EntryGone{self_}, "",
        [judged](const state::Verdict&) { judged->set_value(); });
    if (IsOk(queued)) {
      left.wait_for(std::chrono::milliseconds(kReleaseLimit.count));
    }
  }

  void StopThreads() {
    routes_->Stop();
    status_->Stop();
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
  std::unique_ptr<Presence> presence_;
  std::unique_ptr<resend::OnceGate> gate_;
  std::unique_ptr<front::Front> front_;
  std::unique_ptr<RouteKeeper> routes_;
  std::unique_ptr<LeaseKeeper> keeper_;
  std::unique_ptr<Steward> steward_;
  std::unique_ptr<DirectoryWatcher> watcher_;
  std::unique_ptr<Snapshotter> snapshotter_;
  std::unique_ptr<operators::OperatorService> operators_;
  std::unique_ptr<StatusServer> status_;
};

Entry::Entry(settings::Settings settings)
    : d_(std::make_unique<Private>(std::move(settings))) {}

Entry::~Entry() = default;

Status Entry::Start() { return d_->Start(); }

std::int64_t Entry::Stop() { return d_->Stop(); }

bool Entry::IsFenced() const { return d_->IsFenced(); }

}  // namespace basilspur::entry
