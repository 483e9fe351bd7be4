#include "cell/cell_member.h"

#include <algorithm>
#include <utility>

#include "base/logging.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("member");
static constexpr char kOwnerKey[] = "owner";
static constexpr char kTailsKey[] = "tails";
static constexpr Millis kTailsInterval(3'000);
static constexpr Millis kDrainPatience(800);
static constexpr Millis kDismissPatience(800);
static constexpr Millis kDismissRetry(300);
static constexpr int kVacateTries = 5;
static constexpr Millis kVacateRetry(100);

CellMember::CellMember(net::asio::io_context& context, Store& store,
                       const Clock& clock, Identity identity,
                       ElectionSettings settings, int cell, std::uint64_t seed,
                       Surroundings surroundings)
    : context_(context),
      store_(store),
      clock_(clock),
      identity_(std::move(identity)),
      cell_(cell),
      partition_{"keyed.owners", cell},
      election_(settings, identity_.node, identity_.incarnation, seed),
      surroundings_(std::move(surroundings)) {}

void CellMember::Start() {
  const auto self = shared_from_this();
  watcher_ = std::make_shared<TopicWatcher>(
      store_, partition_, WatchSettings{},
      [self](const KeyedRecord& record) { self->OnRecord(record); },
      [self](std::int64_t end) {
        self->election_.OnEnd(end, self->clock_.Monotonic());
      });
  net::asio::co_spawn(context_, watcher_->Run(), net::asio::detached);
}

void CellMember::OnRecord(const KeyedRecord& record) {
  if (record.key == kOwnerKey) OnOwnerRecord(record);
  if (record.key == kTailsKey) surroundings_.on_tails(record.value);
}

void CellMember::OnOwnerRecord(const KeyedRecord& record) {
  const auto decoded = records::Decode<OwnerRecord>(record.value);
  if (!IsOk(decoded)) {
    kLog.Error("event=owner_record_unreadable cell=" + std::to_string(cell_) +
               " error=\"" + ErrorOf(decoded).ToString() + "\"");
    return;
  }
  NoteSilentVms(ValueOf(decoded));
  const std::string before =
      election_.Owner() ? election_.Owner()->incarnation : "";
  election_.OnRecord(ValueOf(decoded), record.offset, clock_.Monotonic());
  const auto& owner = election_.Owner();
  if (owner && owner->incarnation != before) {
    kLog.Info("event=owner_seen cell=" + std::to_string(cell_) + " owner=" +
              owner->node + " token=" + std::to_string(owner->token) +
              " offset=" + std::to_string(record.offset));
  }
  if (owner) surroundings_.on_load(owner->load);
  Follow();
}

void CellMember::NoteSilentVms(const OwnerRecord& record) {
  // The record that begins an ownership hands on what was told before.
  const bool begins = record.token < 0;
  if (begins && record.incarnation == identity_.incarnation) return;
  const Millis now = clock_.Monotonic();
  silent_.clear();
  for (const SilentVmRecord& vm : record.silent) {
    silent_.push_back({vm.vm, now + Millis(vm.lease_left_ms)});
  }
}

static std::vector<SilentVmRecord> ToRecords(
    const std::vector<jobs::SilentVm>& silent, Millis now) {
  std::vector<SilentVmRecord> records;
  for (const jobs::SilentVm& vm : silent) {
    const Millis left = std::max(vm.lapse - now, Millis(0));
    records.push_back({vm.vm, left.count});
  }
  return records;
}

void CellMember::Follow() {
  if (owner_ && election_.Token() != owner_token_) DropOwner();
  if (owner_ || !election_.Owns() || leaving_ || yielding_) return;
  owner_token_ = election_.Token();
  load_told_ = false;
  const auto self = shared_from_this();
  CellOwner::Ownership ownership;
  ownership.cell = cell_;
  ownership.token = election_.Token();
  ownership.term = election_.Term();
  ownership.handed_over = election_.WasHandedOver();
  ownership.records_whole = election_.HasWholeRecords();
  ownership.silent = silent_;
  owner_ = surroundings_.make_owner(
      ownership,
      [self] { return self->election_.IsFresh(self->clock_.Monotonic()); },
      [self, token = owner_token_] {
        if (self->owner_token_ != token) return;
        self->election_.StepDown();
        self->DropOwner();
      });
  net::asio::co_spawn(context_, owner_->TakeOver(), [](auto, bool) {});
  for (const FormerOwner& former : election_.Former()) {
    net::asio::co_spawn(context_, Dismiss(former, owner_token_),
                        net::asio::detached);
  }
}

net::asio::awaitable<void> CellMember::Dismiss(FormerOwner former,
                                               std::int64_t token) {
  const auto self = shared_from_this();
  // A process of this node that lives no more needs no telling.
  bool gone = former.node == identity_.node;
  while (!gone) {
    JobRequest request;
    request.kind = RequestKind::kStandDown;
    request.cell = cell_;
    request.token = token;
    const JobReply reply = co_await surroundings_.ask_peer(
        former.address, request, kDismissPatience);
    if (owner_token_ != token) co_return;
    gone = reply.kind == ReplyKind::kStoodDown;
    if (!gone) co_await net::Sleep(kDismissRetry);
  }
  if (owner_token_ != token || !owner_) co_return;
  election_.OnFormerGone(former);
  if (election_.Former().empty()) owner_->OnPredecessorsGone();
}

void CellMember::OnStandDown(std::int64_t token) {
  if (!election_.Owns() || election_.Token() >= token) return;
  kLog.Info("event=told_to_stand_down cell=" + std::to_string(cell_) +
            " token=" + std::to_string(token));
  DropOwner();
  election_.StepDown();
}

void CellMember::DropOwner() {
  if (!owner_) return;
  kLog.Info("event=ownership_ended cell=" + std::to_string(cell_) +
            " token=" + std::to_string(owner_token_));
  owner_->Stop();
  owner_.reset();
  owner_token_ = -1;
}

void CellMember::Tick(int owned) {
  const Millis now = clock_.Monotonic();
  if (election_.IsOrphaned(now)) {
    kLog.Warning("event=orphaned cell=" + std::to_string(cell_) +
                 " reason=\"no renewal for too long\"");
    election_.StepDown();
    DropOwner();
  }
  if (owner_) owner_->Tick();
  if (appending_ || leaving_ || yielding_) return;
  // Jobs may come by the hundred at once, and go by what cells have told.
  const bool untold = owner_ && owner_->IsReady() && !load_told_;
  if (election_.ShouldRenew(now) || untold) {
    net::asio::co_spawn(
        context_, AppendRecord(election_.RenewalRecord(identity_.peer_address)),
        net::asio::detached);
  } else if (now >= runs_from_ && election_.ShouldRun(owned, now)) {
    net::asio::co_spawn(
        context_, AppendRecord(election_.BeginRecord(identity_.peer_address)),
        net::asio::detached);
  }
}

net::asio::awaitable<void> CellMember::AppendRecord(OwnerRecord record) {
  const auto self = shared_from_this();
  appending_ = true;
  const Millis sent = clock_.Monotonic();
  const bool renewal = record.token >= 0;
  std::vector<jobs::SilentVm> silent;
  const std::shared_ptr<CellOwner> owner = renewal ? owner_ : nullptr;
  // Also a cell without VMs is told once, not on every tick.
  const bool tells_load = owner && owner->IsReady();
  if (owner) {
    record.load = owner->Load();
    silent = owner->TellSilentVms();
    record.silent = ToRecords(silent, sent);
  } else if (!renewal) {
    record.silent = ToRecords(silent_, sent);
  }
  const KeyedRecord written{kOwnerKey, records::Encode(record), 0};
  std::vector<KeyedRecord> records(1, written);
  if (renewal && owner_ && sent - tails_told_ >= kTailsInterval) {
    tails_told_ = sent;
    records.push_back(
        {kTailsKey, records::Encode(owner_->State().Tails().MakeRecord()), 0});
  }
  const auto count = static_cast<std::int64_t>(records.size());
  const AppendAnswer answer =
      co_await store_.AppendAt(partition_, election_.End(), std::move(records));
  const Millis now = clock_.Monotonic();
  switch (answer.verdict) {
    case AppendVerdict::kAppended:
      if (renewal) {
        if (election_.Token() == record.token) {
          election_.OnRenewed(answer.offset + count - 1, sent, now);
          surroundings_.on_load(record.load);
          NoteSilentVms(record);
          load_told_ = load_told_ || tells_load;
          if (owner) owner->OnSilentVmsTold(silent);
        }
      } else {
        OnRecord({kOwnerKey, written.value, answer.offset});
      }
      break;
    case AppendVerdict::kConflict:
    case AppendVerdict::kUnknown:
      co_await LookAgain(sent);
      break;
    default:
      break;
  }
  appending_ = false;
}

net::asio::awaitable<void> CellMember::LookAgain(Millis sent) {
  const Result<NewestRecords> read = co_await store_.ReadNewest(partition_);
  if (!IsOk(read)) co_return;
  const Millis now = clock_.Monotonic();
  for (const KeyedRecord& record : ValueOf(read).records) {
    OnRecord(record);
  }
  election_.OnEnd(ValueOf(read).end, now);
  // The newest record is this owner's, so nobody had come in by `sent`.
  if (election_.Owns()) {
    election_.OnRenewed(election_.End() - 1, sent, now);
  }
}

void CellMember::OnOwnerDead(const std::string& incarnation) {
  election_.OnOwnerDead(incarnation, clock_.Monotonic());
}

net::asio::awaitable<void> CellMember::Leave() {
  leaving_ = true;
  co_await HandOver();
}

net::asio::awaitable<void> CellMember::Yield(Millis pause) {
  const auto self = shared_from_this();
  if (yielding_ || leaving_) co_return;
  yielding_ = true;
  kLog.Warning("event=cell_yielded cell=" + std::to_string(cell_) +
               " reason=\"this machine is too slow for it\"");
  co_await HandOver();
  runs_from_ = clock_.Monotonic() + pause;
  yielding_ = false;
}

net::asio::awaitable<void> CellMember::HandOver() {
  const auto self = shared_from_this();
  if (!owner_ || !election_.Owns()) co_return;
  const bool whole = co_await owner_->Drain(kDrainPatience);
  if (!owner_) co_return;
  OwnerRecord record = election_.RenewalRecord(identity_.peer_address);
  record.vacant = true;
  record.whole = whole;
  record.silent = ToRecords(owner_->TellSilentVms(), clock_.Monotonic());
  const KeyedRecord written{kOwnerKey, records::Encode(record), 0};
  kLog.Info("event=handing_over cell=" + std::to_string(cell_) +
            " token=" + std::to_string(record.token) +
            " whole=" + std::to_string(static_cast<int>(whole)));
  DropOwner();
  for (int attempt = 0; attempt < kVacateTries; ++attempt) {
    std::vector<KeyedRecord> records(1, written);
    const AppendAnswer answer = co_await store_.AppendAt(
        partition_, election_.End(), std::move(records));
    if (answer.verdict == AppendVerdict::kAppended) break;
    co_await LookAgain(clock_.Monotonic());
    if (election_.Token() != record.token) break;
    co_await net::Sleep(kVacateRetry);
  }
  election_.StepDown();
}

}  // namespace basilspur::cell
