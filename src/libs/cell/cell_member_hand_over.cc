#include <algorithm>
#include <utility>

#include "base/logging.h"
#include "cell/cell_member.h"
#include "cell/flag_reset.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("member");
static constexpr Millis kDrainTimeout(800);
static constexpr int kMaxVacateAttempts = 5;
static constexpr Millis kVacateRetryInterval(100);
static constexpr Millis kPendingAppendPollInterval(5);
/// Taking a cell over lasts up to 0.8 s. A node that needs longer than this,
/// though its renewals reach the store, leaves the cell to another one.
static constexpr Millis kTakeOverTimeout(5'000);
static constexpr Millis kTakeOverCooldown(15'000);
/// Another entry takes the cell within this time, if there is one.
static constexpr Millis kOverloadCooldown(3'000);

net::asio::awaitable<void> CellMember::Leave(Millis limit) {
  const auto self = shared_from_this();
  leaving_ = true;
  // The owner must not name this node as its successor.
  if (follow_policy_.IsCandidate(clock_.Monotonic()) &&
      Knowledge() == OwnerKnowledge::kOther) {
    net::Spawn(context_, ProbeOwner(*election_.Owner(), /*owns_cells=*/false),
               "leaving_probe");
  }
  co_await HandOver(std::min(kDrainTimeout, limit / 2));
}

void CellMember::YieldOverdueTakeOver(Millis now) {
  if (!owner_ || owner_->IsReady() || leaving_ || yielding_) return;
  if (now - owner_started_ <= kTakeOverTimeout) return;
  // Without stored renewals, other nodes take the cell without a release.
  if (!election_.IsAuthoritative(now)) return;
  net::Spawn(context_, Yield(kTakeOverCooldown, "the take-over lasts too long"),
             "cell_yield");
}

void CellMember::LogLateRequests() const {
  const ServiceWatch::Window& window = service_watch_.LastWindow();
  kLog.Info(
      "event=owner_requests_late cell=" + std::to_string(cell_) + " requests=" +
      std::to_string(window.requests) + " late=" + std::to_string(window.late) +
      " max_age_ms=" + std::to_string(window.max_age.count) +
      " overload_releases=" + std::to_string(election_.OverloadReleases()));
}

void CellMember::YieldUnservedCell(Millis now) {
  if (!owner_ || leaving_ || yielding_) return;
  const bool release =
      service_watch_.ShouldRelease(election_.OverloadReleases(), now);
  if (service_watch_.HasLateWindow(now)) LogLateRequests();
  if (service_watch_.HasRecovered(now)) election_.ClearOverloadReleases();
  // Without stored renewals, other nodes take the cell without a release.
  if (!release || !election_.IsAuthoritative(now)) return;
  overloaded_ = true;
  net::Spawn(context_,
             Yield(kOverloadCooldown, "other entries' requests wait too long"),
             "cell_yield");
}

net::asio::awaitable<void> CellMember::Yield(Millis cooldown,
                                             const char* reason) {
  const auto self = shared_from_this();
  if (yielding_ || leaving_) co_return;
  yielding_ = true;
  kLog.Warning("event=cell_yielded cell=" + std::to_string(cell_) +
               " reason=\"" + reason + "; handing over to another node\"");
  co_await HandOver(kDrainTimeout);
  no_campaign_before_ = clock_.Monotonic() + cooldown;
  yielding_ = overloaded_ = false;
}

void CellMember::StartHandOver() {
  if (handing_over_) return;
  net::Spawn(context_, HandOver(kDrainTimeout), "hand_over");
}

net::asio::awaitable<void> CellMember::HandOver(Millis drain_timeout) {
  const auto self = shared_from_this();
  while (handing_over_) co_await net::Sleep(kPendingAppendPollInterval);
  handing_over_ = true;
  const FlagReset reset(handing_over_);
  if (appending_ && !election_.Owns()) {
    kLog.Info("event=claim_pending_while_leaving cell=" +
              std::to_string(cell_));
  }
  // Without an owner, a claim that is stored now would leave the cell without
  // one until others time it out.
  while (appending_ && !election_.Owns()) {
    co_await net::Sleep(kPendingAppendPollInterval);
  }
  if (!election_.Owns()) co_return;
  std::optional<OwnerRecord> record;
  if (owner_) {
    record = co_await DrainOwner(drain_timeout);
  } else {
    record = MakeVacantRecord();
  }
  if (record) co_await AppendVacantRecord(*record);
}

net::asio::awaitable<std::optional<OwnerRecord>> CellMember::DrainOwner(
    Millis drain_timeout) {
  const Millis started = clock_.Monotonic();
  const bool journal_complete = co_await owner_->Drain(drain_timeout);
  if (!owner_) co_return std::nullopt;
  OwnerRecord record = election_.MakeRenewalRecord(identity_.peer_address);
  record.vacant = true;
  record.journal_complete = journal_complete;
  if (overloaded_) ++record.overload_releases;
  record.successor = candidates_.ChooseSuccessor(clock_.Monotonic());
  record.unreachable_vms =
      ToRecords(owner_->CollectUnreachableVms(), clock_.Monotonic());
  record.unreached_vms = ToRecords(owner_->UnreachedVms(), clock_.Monotonic());
  kLog.Info(
      "event=handover_started cell=" + std::to_string(cell_) +
      " token=" + std::to_string(record.token) + " journal_complete=" +
      std::to_string(static_cast<int>(journal_complete)) +
      " was_ready=" + std::to_string(owner_->IsReady() ? 1 : 0) +
      " successor=" + (record.successor.empty() ? "none" : record.successor) +
      " drain_ms=" + std::to_string((clock_.Monotonic() - started).count));
  StopOwner();
  co_return record;
}

OwnerRecord CellMember::MakeVacantRecord() const {
  OwnerRecord record = election_.MakeRenewalRecord(identity_.peer_address);
  record.vacant = true;
  record.journal_complete = election_.HasCompleteJournal();
  record.unreachable_vms = ToRecords(unreachable_vms_, clock_.Monotonic());
  record.unreached_vms = ToRecords(unreached_vms_, clock_.Monotonic());
  kLog.Info(
      "event=claim_released reason=\"the claim was stored while this node "
      "leaves or yields the cell\" cell=" +
      std::to_string(cell_) + " token=" + std::to_string(record.token) +
      " journal_complete=" +
      std::to_string(static_cast<int>(record.journal_complete)));
  return record;
}

net::asio::awaitable<void> CellMember::AppendVacantRecord(OwnerRecord record) {
  const KeyedRecord written{kOwnerKey, records::Encode(record), 0};
  for (int attempt = 0; attempt < kMaxVacateAttempts; ++attempt) {
    std::vector<KeyedRecord> records(1, written);
    const AppendAnswer answer = co_await store_.AppendAt(
        partition_, election_.End(), std::move(records));
    if (answer.outcome == AppendOutcome::kAppended) break;
    co_await net::Sleep(kVacateRetryInterval);
    co_await RereadPartition(clock_.Monotonic());
    // The next attempt must not follow a claim that was read in the meantime.
    if (election_.Token() != record.token) break;
  }
  election_.StepDown();
}

}  // namespace basilspur::cell
