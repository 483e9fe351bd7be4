#include <optional>
#include <utility>

#include "base/logging.h"
#include "cell/cell_member.h"
#include "cell/request_forwarder.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("forward");

void RequestForwarder::NoteOwnerCall(const JobRequest& request,
                                     const std::string& address,
                                     const JobReply& reply, Millis started) {
  const Millis took = Now() - started;
  if (took < kSlowCall) return;
  ++counters_.owner_calls_slow;
  kLog.Info("event=owner_call_slow job=" + request.job + " request=" +
            NameOf(request.kind) + " cell=" + std::to_string(request.cell) +
            " owner=" + address + " took_ms=" + std::to_string(took.count) +
            " limit_ms=" + std::to_string(request.timeout_ms) +
            " replied=" + (reply.incarnation.empty() ? "0" : "1"));
}

void RequestForwarder::NoteOwnerReply(CellMember& member,
                                      const OwnerRecord& owner,
                                      const JobReply& reply) {
  // The reply says nothing of an owner that has replaced this one meanwhile.
  const std::optional<OwnerRecord>& known = member.KnownOwner();
  if (!known || known->incarnation != owner.incarnation) return;
  // Another process replied, or the address refuses connections: the owner's
  // process has terminated.
  const bool terminated =
      !reply.incarnation.empty() && reply.incarnation != owner.incarnation;
  const bool served = reply.kind != ReplyKind::kNotOwner &&
                      reply.kind != ReplyKind::kInDoubt &&
                      reply.kind != ReplyKind::kUnavailable;
  if (terminated) {
    member.OnOwnerTerminated(owner.incarnation);
  } else if (!served || reply.may_be_replaced) {
    member.OnOwnerDoubted();
  }
  if (served) {
    member.OnOwnerServed();
    contacts_.OnOwnerServed(owner.address, Now());
  } else if (!terminated && !reply.incarnation.empty()) {
    member.OnOwnerTakingOver();
  }
}

net::asio::awaitable<JobReply> RequestForwarder::ServeAsOwner(
    std::shared_ptr<CellMember> member, JobRequest request) {
  const Millis started = Now();
  JobReply reply = co_await member->Owner()->Handle(request);
  reply.may_be_replaced = !member->IsAuthoritative();
  const Millis took = Now() - started;
  ++counters_.answered_as_owner;
  if (took >= Millis(request.timeout_ms)) ++counters_.answered_too_late;
  if (took < kSlowCall) co_return reply;
  kLog.Info("event=owner_answer_slow job=" + request.job + " request=" +
            NameOf(request.kind) + " cell=" + std::to_string(request.cell) +
            " took_ms=" + std::to_string(took.count) +
            " limit_ms=" + std::to_string(request.timeout_ms));
  co_return reply;
}

void RequestForwarder::OnCallAbandoned(Millis age) {
  ++counters_.abandoned;
  kLog.Info("event=peer_call_abandoned age_ms=" + std::to_string(age.count) +
            " abandoned=" + std::to_string(counters_.abandoned));
}

bool RequestForwarder::NoteRead(const JobRequest& request, Millis age) {
  ++counters_.read;
  counters_.read_age_sum = counters_.read_age_sum + age;
  const bool expired = age > Millis(0) && Millis(request.timeout_ms) <= age &&
                       request.kind != RequestKind::kStepDown;
  if (!expired) return false;
  ++counters_.expired;
  kLog.Info("event=peer_request_expired job=" + request.job + " request=" +
            NameOf(request.kind) + " cell=" + std::to_string(request.cell) +
            " age_ms=" + std::to_string(age.count) +
            " limit_ms=" + std::to_string(request.timeout_ms));
  return true;
}

net::asio::awaitable<JobReply> RequestForwarder::ServePeer(JobRequest request,
                                                           Millis age) {
  const std::shared_ptr<CellMember> member = callbacks_.member(request.cell);
  member->OnRequestRead(age);
  JobReply reply;
  if (NoteRead(request, age)) {
    reply.kind = ReplyKind::kUnavailable;
    reply.incarnation = self_.incarnation;
    co_return reply;
  }
  request.timeout_ms -= age.count;
  const std::optional<OwnerRecord> owner = member->KnownOwner();
  if (request.kind == RequestKind::kStepDown) {
    member->OnStepDownRequest(request.token);
    reply.kind = ReplyKind::kSteppedDown;
  } else if (member->Owner()) {
    reply = co_await ServeAsOwner(member, std::move(request));
  } else if (!request.relay_for.empty() && owner &&
             owner->incarnation != self_.incarnation &&
             owner->address != request.relay_for) {
    ++counters_.relays_for_others;
    request.relay_for.clear();
    const Millis timeout(request.timeout_ms);
    request.timeout_ms = std::max(timeout - kHopMargin, Millis(1)).count;
    reply = co_await callbacks_.call_peer(owner->address, std::move(request),
                                          timeout);
    NoteOwnerReply(*member, *owner, reply);
  } else if (!request.relay_for.empty()) {
    member->OnOwnerDoubted();
  }
  reply.incarnation = self_.incarnation;
  co_return reply;
}

}  // namespace basilspur::cell
