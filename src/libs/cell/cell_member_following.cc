#include <utility>

#include "cell/cell_member.h"
#include "net/spawn.h"

namespace basilspur::cell {

OwnerKnowledge CellMember::Knowledge() const {
  if (election_.Owns()) return OwnerKnowledge::kSelf;
  const auto& owner = election_.Owner();
  const bool is_other = owner && owner->incarnation != identity_.incarnation;
  return is_other ? OwnerKnowledge::kOther : OwnerKnowledge::kNone;
}

void CellMember::UpdateFollowing() {
  const bool follow = appending_ || follow_policy_.ShouldFollow(
                                        Knowledge(), clock_.Monotonic());
  if (follow == IsFollowing()) return;
  if (follow) {
    StartFollowing();
    return;
  }
  watcher_->Stop();
  watcher_.reset();
  election_.OnFollowingStopped();
}

void CellMember::StartFollowing() {
  const auto self = shared_from_this();
  watcher_ = std::make_shared<TopicWatcher>(
      store_, partition_, WatchSettings{},
      [self](const KeyedRecord& record) { self->OnRecord(record); },
      [self](std::int64_t end) {
        self->election_.OnEnd(end, self->clock_.Monotonic());
      });
  watcher_->Start(context_);
}

net::asio::awaitable<void> CellMember::ProbeOwner(OwnerRecord owner,
                                                  bool owns_cells) {
  const auto self = shared_from_this();
  OwnerProbe probe;
  probe.cell = cell_;
  probe.incarnation = identity_.incarnation;
  probe.address = identity_.peer_address;
  probe.data_center = identity_.data_center;
  probe.burdened = owns_cells || slow_machine_;
  probe.abstains = Abstains(clock_.Monotonic());
  probe.wants_tails = owns_cells && clock_.Monotonic() - last_tails_request_ >=
                                        kTailRecordInterval;
  if (probe.wants_tails) last_tails_request_ = clock_.Monotonic();
  const Result<OwnerProbeReply> answer =
      co_await callbacks_.probe_peer(owner.address, std::move(probe));
  const bool refused =
      !IsOk(answer) && ErrorOf(answer).code == ErrorCode::kRefused;
  const bool replaced =
      IsOk(answer) && ValueOf(answer).incarnation != owner.incarnation;
  if (refused || replaced) OnOwnerTerminated(owner.incarnation);
  if (!IsOk(answer) || !ValueOf(answer).owns) {
    OnOwnerDoubted();
    co_return;
  }
  const OwnerProbeReply& reply = ValueOf(answer);
  OnOwnerServed();
  follow_policy_.OnOwnerAnswered(reply.candidate, clock_.Monotonic());
  callbacks_.on_load(reply.load);
  if (reply.tails) callbacks_.on_tail_record(*reply.tails);
}

OwnerProbeReply CellMember::HandleProbe(const OwnerProbe& probe) {
  OwnerProbeReply reply;
  reply.incarnation = identity_.incarnation;
  reply.owns = IsAuthoritative();
  if (!reply.owns) return reply;
  reply.candidate = candidates_.OnProbe(probe, clock_.Monotonic());
  reply.load = published_load_;
  if (probe.wants_tails) reply.tails = published_tails_;
  return reply;
}

void CellMember::UpdateOutlook(const std::string& incarnation_before) {
  const auto& owner = election_.Owner();
  const std::string incarnation = owner ? owner->incarnation : "";
  if (incarnation != incarnation_before) {
    outlook_.OnOwnerChanged(clock_.Monotonic());
  } else if (owner) {
    outlook_.OnOwnerRenewed();
  }
}

void CellMember::OnOwnerDoubted() {
  outlook_.OnOwnerMissing(clock_.Monotonic());
  follow_policy_.OnOwnerDoubted(clock_.Monotonic());
  UpdateFollowing();
}

}  // namespace basilspur::cell
