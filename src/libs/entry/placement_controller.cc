#include "entry/placement_controller.h"

#include <utility>

#include "base/logging.h"
#include "lease/claim_planner.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("placement");
static constexpr Millis kStepInterval(50);
static constexpr Millis kRecheckInterval(250);

PlacementController::PlacementController(
    records::EntryRef self, const replica::Replica& replica,
    replica::LogWriter& writer, const Membership& membership,
    std::unique_ptr<placement::VmScorer> scorer, metrics::Registry& metrics,
    const Clock& clock)
    : self_(std::move(self)),
      replica_(replica),
      writer_(writer),
      membership_(membership),
      clock_(clock),
      placements_(metrics.Counter("basilspur_placements_total")),
      void_placements_(metrics.Counter("basilspur_placements_void_total")),
      evictions_(metrics.Counter("basilspur_evictions_total")),
      planner_(std::move(scorer)) {}

PlacementController::~PlacementController() { Stop(); }

void PlacementController::Start() {
  thread_ = std::thread([this] { Run(); });
}

void PlacementController::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void PlacementController::Run() {
  while (!stopping_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepInterval.count));
    const bool ready = membership_.HasInitialView() && membership_.IsSelfLive();
    const bool log_is_up = !replica_.LogIsDown() && !writer_.LogIsDown();
    if (ready && log_is_up) Step();
  }
}

void PlacementController::Step() {
  const Millis now = clock_.Monotonic();
  std::set<std::string> up = membership_.EntriesUp();
  const bool up_changed = up != entries_up_;
  entries_up_ = std::move(up);
  if (up_changed || last_claim_step_ + kRecheckInterval <= now) {
    last_claim_step_ = now;
    ClaimVms();
  }
  const std::int64_t offset = replica_.Read(
      [](const state::ClusterState& state) { return state.Offset(); });
  // Without a change, the plan differs only as time passes: when a retry delay
  // has ended or a record was lost.
  const bool changed = up_changed || offset != last_placement_offset_;
  if (changed || last_placement_step_ + kRecheckInterval <= now) {
    last_placement_step_ = now;
    last_placement_offset_ = offset;
    PlaceJobs();
  }
}

void PlacementController::ClaimVms() {
  std::vector<records::VmClaimed> claims;
  std::vector<records::VmStandby> standbys;
  replica_.Read([&](const state::ClusterState& state) {
    claims = lease::PlanClaims(state, self_, entries_up_);
    standbys = lease::PlanStandbys(state, self_, entries_up_);
    return 0;
  });
  for (const auto& claim : claims) SubmitClaim(claim, claim.vm);
  for (const auto& standby : standbys) SubmitClaim(standby, standby.vm);
}

void PlacementController::SubmitClaim(records::RecordBody body,
                                      const std::string& vm) {
  {
    const std::lock_guard lock(mutex_);
    if (!pending_claims_.insert(vm).second) return;
  }
  const auto done = [this, vm](const state::ApplyResult&) {
    const std::lock_guard lock(mutex_);
    pending_claims_.erase(vm);
  };
  if (!IsOk(writer_.Submit(std::move(body), "", done))) done({});
}

void PlacementController::PlaceJobs() {
  if (!entries_up_.contains(self_.name)) return;
  std::vector<records::RecordBody> decisions;
  replica_.Read([&](const state::ClusterState& state) {
    const std::lock_guard lock(mutex_);
    decisions = planner_.Plan(state, self_.name, entries_up_, clock_.Wall());
    return 0;
  });
  for (auto& body : decisions) {
    std::string job;
    if (const auto* placed = std::get_if<records::RunPlaced>(&body)) {
      job = placed->run.job;
      ++placements_;
    } else if (const auto* evicted = std::get_if<records::RunEvicted>(&body)) {
      job = evicted->run.job;
      ++evictions_;
      kLog.Info("Evicting run " + evicted->run.ToString() + ": " +
                evicted->reason + ".");
    }
    SubmitDecision(std::move(body), job);
  }
}

void PlacementController::SubmitDecision(records::RecordBody body,
                                         const std::string& job) {
  const auto done = [this, job](const state::ApplyResult& result) {
    if (!result.Accepted()) ++void_placements_;
    const std::lock_guard lock(mutex_);
    planner_.OnDecisionResolved(job);
  };
  const Status queued = writer_.Submit(std::move(body), "", done);
  if (!IsOk(queued)) {
    done({state::ApplyResultCode::kUnknownWriter, "", 0});
  }
}

}  // namespace basilspur::entry
