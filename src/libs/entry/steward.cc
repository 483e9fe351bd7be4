#include "entry/steward.h"

#include <utility>

#include "base/logging.h"
#include "lease/claim_planner.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("steward");
static constexpr Millis kStepInterval(50);
static constexpr Millis kUnchangedInterval(250);

Steward::Steward(records::EntryRef self, const replica::Replica& replica,
                 replica::LogWriter& writer, const Presence& presence,
                 std::unique_ptr<placement::VmScorer> scorer,
                 metrics::Registry& metrics, const Clock& clock)
    : self_(std::move(self)),
      replica_(replica),
      writer_(writer),
      presence_(presence),
      clock_(clock),
      placements_(metrics.Counter("basilspur_placements_total")),
      void_placements_(metrics.Counter("basilspur_placements_void_total")),
      evictions_(metrics.Counter("basilspur_evictions_total")),
      planner_(std::move(scorer)) {}

Steward::~Steward() { Stop(); }

void Steward::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Steward::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void Steward::Run() {
  while (!stopping_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepInterval.count));
    const bool ready = presence_.HasSettled() && presence_.SelfIsLive();
    const bool log_is_up = !replica_.LogIsDown() && !writer_.LogIsDown();
    if (ready && log_is_up) Step();
  }
}

void Steward::Step() {
  const Millis now = clock_.Monotonic();
  std::set<std::string> up = presence_.EntriesUp();
  const bool up_changed = up != up_;
  up_ = std::move(up);
  if (up_changed || claimed_at_ + kUnchangedInterval <= now) {
    claimed_at_ = now;
    Claim();
  }
  const std::int64_t offset = replica_.Read(
      [](const state::ClusterState& state) { return state.Offset(); });
  // Without a change only time brings something new: a pause that is over, or
  // a record that was lost.
  const bool changed = up_changed || offset != placed_offset_;
  if (changed || placed_at_ + kUnchangedInterval <= now) {
    placed_at_ = now;
    placed_offset_ = offset;
    Place();
  }
}

void Steward::Claim() {
  std::vector<records::VmClaimed> claims;
  std::vector<records::VmStandby> standbys;
  replica_.Read([&](const state::ClusterState& state) {
    claims = lease::PlanClaims(state, self_, up_);
    standbys = lease::PlanStandbys(state, self_, up_);
    return 0;
  });
  for (const auto& claim : claims) SubmitClaim(claim, claim.vm);
  for (const auto& standby : standbys) SubmitClaim(standby, standby.vm);
}

void Steward::SubmitClaim(records::RecordBody body, const std::string& vm) {
  {
    const std::lock_guard lock(mutex_);
    if (!claiming_.insert(vm).second) return;
  }
  const auto done = [this, vm](const state::ApplyResult&) {
    const std::lock_guard lock(mutex_);
    claiming_.erase(vm);
  };
  if (!IsOk(writer_.Submit(std::move(body), "", done))) done({});
}

void Steward::Place() {
  if (!up_.contains(self_.name)) return;
  std::vector<records::RecordBody> decisions;
  replica_.Read([&](const state::ClusterState& state) {
    const std::lock_guard lock(mutex_);
    decisions = planner_.Plan(state, self_.name, up_, clock_.Wall());
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
      kLog.Info("Evicts run " + evicted->run.ToString() + ". " +
                evicted->reason + ".");
    }
    Submit(std::move(body), job);
  }
}

void Steward::Submit(records::RecordBody body, const std::string& job) {
  const auto done = [this, job](const state::ApplyResult& verdict) {
    if (!verdict.Accepted()) ++void_placements_;
    const std::lock_guard lock(mutex_);
    planner_.OnDecisionResolved(job);
  };
  const Status queued = writer_.Submit(std::move(body), "", done);
  if (!IsOk(queued)) {
    done({state::ApplyResultCode::kUnknownWriter, "", 0});
  }
}

}  // namespace basilspur::entry
