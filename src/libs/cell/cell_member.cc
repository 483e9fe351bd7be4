#include "cell/cell_member.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"
#include "base/logging.h"
#include "cell/flag_reset.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("member");
static constexpr char kTailsKey[] = "tails";
/// Shortest interval of renewals that only confirm the ownership.
static constexpr Millis kMinConfirmationInterval(300);
static constexpr Millis kStepDownTimeout(800);
static constexpr Millis kStepDownRetryInterval(300);

CellMember::CellMember(net::asio::io_context& context, Store& store,
                       const Clock& clock, Identity identity,
                       ElectionSettings settings, Position position,
                       std::uint64_t seed, Callbacks callbacks)
    : context_(context),
      store_(store),
      clock_(clock),
      identity_(std::move(identity)),
      cell_(position.cell),
      partition_{kOwnersTopic, position.cell},
      slow_machine_(settings.slow_machine_delay > Millis(0)),
      election_(settings, identity_.node, identity_.incarnation, seed),
      follow_policy_(position.cells, MixBits(seed)),
      max_candidates_(settings.max_candidates),
      candidates_(max_candidates_),
      callbacks_(std::move(callbacks)) {}

void CellMember::Start() {
  if (!IsFollowing()) StartFollowing();
}

void CellMember::OnRecord(const KeyedRecord& record) {
  if (record.key == kOwnerKey) OnOwnerRecord(record);
  if (record.key == kTailsKey) OnTailRecord(record);
}

void CellMember::OnTailRecord(const KeyedRecord& record) {
  const auto decoded = records::Decode<jobs::TailRecord>(record.value);
  if (IsOk(decoded)) {
    callbacks_.on_tail_record(ValueOf(decoded));
    return;
  }
  kLog.Error("event=tail_record_skipped cell=" + std::to_string(cell_) +
             " error=\"" + ErrorOf(decoded).ToString() + "\"");
}

void CellMember::OnOwnerRecord(const KeyedRecord& record) {
  const auto decoded = records::Decode<OwnerRecord>(record.value);
  if (!IsOk(decoded)) {
    kLog.Error("event=owner_record_skipped cell=" + std::to_string(cell_) +
               " error=\"" + ErrorOf(decoded).ToString() + "\"");
    return;
  }
  const std::string before =
      election_.Owner() ? election_.Owner()->incarnation : "";
  if (!election_.OnRecord(ValueOf(decoded), record.offset,
                          clock_.Monotonic())) {
    return;
  }
  UpdateUnreachableVms(ValueOf(decoded));
  UpdateOutlook(before);
  const auto& owner = election_.Owner();
  if (owner && owner->incarnation != before) {
    kLog.Info("event=owner_changed cell=" + std::to_string(cell_) + " node=" +
              owner->node + " token=" + std::to_string(owner->token) +
              " offset=" + std::to_string(record.offset));
  }
  if (owner) callbacks_.on_load(owner->load);
  SyncOwner();
  ClaimAsSuccessor();
}

void CellMember::ClaimAsSuccessor() {
  const Millis now = clock_.Monotonic();
  if (!election_.IsNamedSuccessor() || appending_ || Abstains(now)) return;
  if (!election_.ShouldCampaign(/*owned=*/0, now)) return;
  kLog.Info("event=successor_claims cell=" + std::to_string(cell_));
  StartAppend(election_.MakeClaimRecord(identity_.peer_address, now));
}

void CellMember::UpdateUnreachableVms(const OwnerRecord& record) {
  // This process's own claim repeats the list of the previous record.
  const bool is_claim = record.token < 0;
  if (is_claim && record.incarnation == identity_.incarnation) return;
  const Millis now = clock_.Monotonic();
  unreachable_vms_ = FromRecords(record.unreachable_vms, now);
  unreached_vms_ = FromRecords(record.unreached_vms, now);
}

std::vector<jobs::UnreachableVm> CellMember::FromRecords(
    const std::vector<UnreachableVmRecord>& records, Millis now) {
  std::vector<jobs::UnreachableVm> vms;
  for (const UnreachableVmRecord& vm : records)
    vms.push_back(
        {vm.vm, now + Millis(vm.lease_remaining_ms), vm.worker_start_ms});
  return vms;
}

std::vector<UnreachableVmRecord> CellMember::ToRecords(
    const std::vector<jobs::UnreachableVm>& unreachable_vms, Millis now) {
  std::vector<UnreachableVmRecord> records;
  for (const jobs::UnreachableVm& vm : unreachable_vms) {
    const Millis left = std::max(vm.lease_expiry - now, Millis(0));
    records.push_back({vm.vm, left.count, vm.worker_start_ms});
  }
  return records;
}

void CellMember::SyncOwner() {
  if (owner_ && election_.Token() != owner_token_) StopOwner();
  if (owner_ || !election_.Owns()) return;
  if (leaving_ || yielding_) {
    StartHandOver();
    return;
  }
  owner_token_ = election_.Token();
  candidates_ = CandidateList(max_candidates_);
  published_load_ = {};
  published_tails_.reset();
  load_published_ = false;
  CellOwner::Ownership ownership;
  ownership.cell = cell_;
  ownership.token = election_.Token();
  ownership.term = election_.Term();
  ownership.handed_over = election_.WasHandedOver();
  ownership.journal_complete = election_.HasCompleteJournal();
  ownership.unreachable_vms = unreachable_vms_;
  ownership.unreached_vms = unreached_vms_;
  owner_started_ = clock_.Monotonic();
  service_watch_.Start(owner_started_);
  owner_ = callbacks_.make_owner(ownership, MakeStanding());
  owner_->Start();
  for (const FormerOwner& former : election_.FormerOwners()) {
    StartStepDownRequests(former, owner_token_);
  }
}

CellOwner::Standing CellMember::MakeStanding() {
  const auto self = shared_from_this();
  CellOwner::Standing standing;
  standing.is_authoritative = [self] {
    return self->election_.IsAuthoritative(self->clock_.Monotonic());
  };
  standing.may_act = [self, token = owner_token_] {
    return self->owner_token_ == token && self->election_.Token() == token &&
           !self->election_.IsExpired(self->clock_.Monotonic());
  };
  standing.confirmed_at = [self] { return self->election_.LastConfirmed(); };
  standing.renewed_at = [self] { return self->election_.LastRenewalSent(); };
  standing.active_predecessors = [self] {
    return self->election_.FormerOwners().size();
  };
  standing.on_predecessors_stopped = [self] {
    self->election_.OnFormerOwnersStopped();
  };
  standing.on_ended = [self, token = owner_token_] {
    if (self->owner_token_ != token) return;
    self->election_.StepDown();
    self->StopOwner();
  };
  return standing;
}

void CellMember::StartStepDownRequests(const FormerOwner& former,
                                       std::int64_t token) {
  const auto self = shared_from_this();
  net::Spawn(
      context_, RequestStepDown(former, token), "step_down_request",
      [self, former, token] { self->StartStepDownRequests(former, token); });
}

net::asio::awaitable<void> CellMember::RequestStepDown(FormerOwner former,
                                                       std::int64_t token) {
  const auto self = shared_from_this();
  // An earlier process of this node has ended, so it needs no request.
  bool stopped = former.node == identity_.node;
  while (!stopped) {
    JobRequest request;
    request.kind = RequestKind::kStepDown;
    request.cell = cell_;
    request.token = token;
    const JobReply reply = co_await callbacks_.call_peer(
        former.address, request, kStepDownTimeout);
    if (owner_token_ != token || !election_.IsFormerOwner(former)) co_return;
    stopped = reply.kind == ReplyKind::kSteppedDown;
    if (!stopped) co_await net::Sleep(kStepDownRetryInterval);
  }
  if (owner_token_ != token || !owner_) co_return;
  election_.OnFormerOwnerStopped(former);
  if (election_.FormerOwners().empty()) owner_->OnPredecessorsStopped();
}

void CellMember::OnStepDownRequest(std::int64_t token) {
  if (election_.Owns() && election_.Token() < token) {
    kLog.Info(
        "event=step_down_requested reason=\"a peer owns the cell under a later "
        "token; ending this ownership\" cell=" +
        std::to_string(cell_) + " token=" + std::to_string(token));
    StopOwner();
  }
  election_.StepDownBefore(token);
}

void CellMember::StopOwner() {
  if (!owner_) return;
  outlook_.OnOwnerChanged(clock_.Monotonic());
  kLog.Info("event=ownership_ended cell=" + std::to_string(cell_) +
            " token=" + std::to_string(owner_token_));
  owner_->Stop();
  owner_.reset();
  owner_token_ = -1;
}

void CellMember::Tick(int owned) {
  const Millis now = clock_.Monotonic();
  UpdateFollowing();
  if (follow_policy_.ShouldProbe(Knowledge(), owned > 0, now)) {
    net::Spawn(context_, ProbeOwner(*election_.Owner(), owned > 0),
               "owner_probe");
  }
  if (election_.IsExpired(now)) {
    kLog.Warning(
        "event=ownership_expired cell=" + std::to_string(cell_) +
        " reason=\"no renewal reached the store in time; stepping down\"");
    election_.StepDown();
    StopOwner();
  }
  if (owner_) owner_->Tick();
  YieldOverdueTakeOver(now);
  YieldUnservedCell(now);
  if (appending_ || leaving_ || yielding_) return;
  // A new owner publishes its load at once: hundreds of jobs may arrive
  // together and are assigned by the published loads.
  const bool load_unpublished = owner_ && owner_->IsReady() && !load_published_;
  const bool must_confirm =
      owner_ && now - election_.LastConfirmed() >= kMinConfirmationInterval &&
      owner_->AwaitsConfirmation();
  if (election_.ShouldRenew(now) || load_unpublished || must_confirm) {
    StartAppend(election_.MakeRenewalRecord(identity_.peer_address));
  } else if (!Abstains(now) && election_.ShouldCampaign(owned, now)) {
    StartAppend(election_.MakeClaimRecord(identity_.peer_address, now));
  }
}

void CellMember::StartAppend(OwnerRecord record) {
  appending_ = true;
  // The coroutine starts later. Records that are read until then are not
  // considered in `record`, so it must not be appended after them.
  net::Spawn(context_, AppendOwnerRecord(std::move(record), election_.End()),
             "owner_record_append");
}

net::asio::awaitable<void> CellMember::AppendOwnerRecord(
    OwnerRecord record, std::int64_t expected_end) {
  const auto self = shared_from_this();
  const FlagReset reset(appending_);
  const Millis sent = clock_.Monotonic();
  const bool renewal = record.token >= 0;
  if (!renewal && (leaving_ || yielding_)) co_return;
  std::vector<jobs::UnreachableVm> unreachable_vms;
  const std::shared_ptr<CellOwner> owner = renewal ? owner_ : nullptr;
  // Readiness decides and not the load, so that the load of a cell without VMs
  // is published once and not on every tick.
  const bool publishes_load = owner && owner->IsReady();
  if (owner) {
    record.load = published_load_ = owner->Load();
    unreachable_vms = owner->CollectUnreachableVms();
    record.unreachable_vms = ToRecords(unreachable_vms, sent);
  } else if (!renewal) {
    record.unreachable_vms = ToRecords(unreachable_vms_, sent);
  }
  const KeyedRecord written{kOwnerKey, records::Encode(record), 0};
  std::vector<KeyedRecord> records(1, written);
  if (renewal && owner_ && sent - last_tail_record_ >= kTailRecordInterval) {
    last_tail_record_ = sent;
    published_tails_ = owner_->SchedulerState().Tails().MakeRecord();
    records.push_back({kTailsKey, records::Encode(*published_tails_), 0});
  }
  const std::optional<RecallRecord> recalls =
      owner ? owner->CollectRecalls() : std::nullopt;
  if (recalls) records.push_back({kRecallsKey, records::Encode(*recalls), 0});
  const auto count = static_cast<std::int64_t>(records.size());
  const AppendAnswer answer =
      co_await store_.AppendAt(partition_, expected_end, std::move(records));
  const Millis now = clock_.Monotonic();
  switch (answer.outcome) {
    case AppendOutcome::kAppended:
      OnRecord({kOwnerKey, written.value, answer.offset});
      if (renewal && election_.Token() == record.token) {
        election_.OnRenewed(answer.offset + count - 1, sent, now);
        load_published_ = load_published_ || publishes_load;
        if (owner) owner->OnUnreachableVmsRecorded(unreachable_vms);
        if (recalls) owner->OnRecallsRecorded(*recalls);
      }
      break;
    case AppendOutcome::kConflict:
    case AppendOutcome::kUnknown:
      co_await RereadPartition(sent);
      break;
    default:
      break;
  }
}

/// Returns the token of the ownership that the owner record belongs to, or -1.
static std::int64_t TokenOf(const KeyedRecord& record) {
  const auto decoded = records::Decode<OwnerRecord>(record.value);
  if (!IsOk(decoded)) return -1;
  const std::int64_t token = ValueOf(decoded).token;
  return token >= 0 ? token : record.offset;
}

net::asio::awaitable<void> CellMember::RereadPartition(Millis sent) {
  const Result<NewestRecords> read = co_await store_.ReadNewest(partition_);
  if (!IsOk(read)) co_return;
  const Millis now = clock_.Monotonic();
  std::int64_t token = -1;
  for (const KeyedRecord& record : ValueOf(read).records) {
    if (record.key == kOwnerKey) token = TokenOf(record);
    OnRecord(record);
  }
  election_.OnEnd(ValueOf(read).end, now);
  // If the newest owner record belongs to this ownership, no other node had
  // claimed the cell by `sent`. A read without that record shows nothing.
  if (election_.Owns() && token == election_.Token())
    election_.OnConfirmed(sent);
}

void CellMember::OnOwnerTerminated(const std::string& incarnation) {
  OnOwnerDoubted();
  election_.OnOwnerTerminated(incarnation, clock_.Monotonic());
}

}  // namespace basilspur::cell
