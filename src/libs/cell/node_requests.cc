#include <utility>

#include "base/logging.h"
#include "cell/node.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("node");
/// Stands for the incarnation of an address that refuses connections.
static constexpr char kNoProcess[] = "-";
static constexpr char kPeerPath[] = "/jobs";

net::asio::awaitable<JobReply> Node::HandlePeerRequest(JobRequest request) {
  JobReply reply;
  const bool known =
      request.cell >= 0 && request.cell < static_cast<int>(members_.size());
  if (request.kind == RequestKind::kStepDown) {
    if (known) members_[request.cell]->OnStepDownRequest(request.token);
    reply.kind = ReplyKind::kSteppedDown;
  } else if (known && members_[request.cell]->Owner()) {
    reply =
        co_await members_[request.cell]->Owner()->Handle(std::move(request));
  }
  reply.incarnation = settings_.identity.incarnation;
  co_return reply;
}

net::asio::awaitable<JobReply> Node::Handle(JobRequest request) {
  if (layout_.cells == 0) co_return JobReply{ReplyKind::kUnavailable};
  if (request.kind == RequestKind::kCount) {
    co_return co_await CountAllCells(std::move(request));
  }
  request.cell = layout_.CellOfJob(request.job);
  co_return co_await ForwardRequest(std::move(request));
}

net::asio::awaitable<JobReply> Node::CountAllCells(JobRequest request) {
  JobReply sum{ReplyKind::kCount};
  for (int cell = 0; cell < layout_.cells; ++cell) {
    request.cell = cell;
    const JobReply reply = co_await ForwardRequest(request);
    if (reply.kind != ReplyKind::kCount) co_return reply;
    sum.count += reply.count;
  }
  co_return sum;
}

net::asio::awaitable<JobReply> Node::ForwardRequest(JobRequest request) {
  const Millis started = clock_.Monotonic();
  const Millis timeout = Millis(request.timeout_ms) - settings_.reply_margin;
  bool in_doubt = false;
  for (;;) {
    const Millis elapsed = clock_.Monotonic() - started;
    const Millis remaining = timeout - elapsed;
    const bool timed_out =
        remaining <= Millis(0) ||
        (!in_doubt && elapsed > settings_.owner_search_timeout);
    if (timed_out) {
      co_return JobReply{in_doubt ? ReplyKind::kInDoubt
                                  : ReplyKind::kUnavailable};
    }
    JobReply reply = co_await TryForwardRequest(request, remaining);
    if (reply.kind == ReplyKind::kMoved && !request.moved) {
      request.cell = reply.count;
      request.moved = true;
      continue;
    }
    if (reply.kind == ReplyKind::kInDoubt) in_doubt = true;
    const bool retry =
        reply.kind == ReplyKind::kNotOwner || reply.kind == ReplyKind::kInDoubt;
    // An earlier attempt in doubt may have been executed, so a later refusal is
    // no valid reply to the request.
    const bool refused =
        reply.kind == ReplyKind::kBusy || reply.kind == ReplyKind::kUnavailable;
    if (!retry && !(in_doubt && refused)) co_return reply;
    co_await net::Sleep(settings_.owner_retry_interval);
  }
}

net::asio::awaitable<JobReply> Node::TryForwardRequest(JobRequest request,
                                                       Millis timeout) {
  const std::shared_ptr<CellMember> member = members_[request.cell];
  request.timeout_ms = timeout.count;
  if (member->Owner()) {
    co_return co_await member->Owner()->Handle(std::move(request));
  }
  const std::optional<OwnerRecord> owner = member->KnownOwner();
  if (!owner || owner->incarnation == settings_.identity.incarnation) {
    co_return JobReply{ReplyKind::kNotOwner};
  }
  JobReply reply =
      co_await CallPeer(owner->address, std::move(request), timeout);
  // Another process replied, or the address refuses connections: the owner's
  // process has terminated.
  if (!reply.incarnation.empty() && reply.incarnation != owner->incarnation) {
    member->OnOwnerTerminated(owner->incarnation);
  }
  co_return reply;
}

net::asio::awaitable<JobReply> Node::CallPeer(std::string address,
                                              JobRequest request,
                                              Millis timeout) {
  net::HttpRequest message;
  message.method = "POST";
  message.target = kPeerPath;
  const records::Bytes body = records::Encode(request);
  message.body.assign(body.begin(), body.end());
  const Result<net::HttpResponse> answer =
      co_await peers_.Call(std::move(address), std::move(message), timeout);
  JobReply reply;
  if (!IsOk(answer)) {
    const Error& error = ErrorOf(answer);
    if (error.code == ErrorCode::kRefused) reply.incarnation = kNoProcess;
    if (error.step != "connect") reply.kind = ReplyKind::kInDoubt;
    co_return reply;
  }
  const std::string& text = ValueOf(answer).body;
  const auto decoded = records::Decode<JobReply>(std::span(
      reinterpret_cast<const std::uint8_t*>(text.data()), text.size()));
  if (IsOk(decoded)) co_return ValueOf(decoded);
  kLog.Error(
      "event=peer_reply_invalid reason=\"the request may have been executed; "
      "retrying\" error=\"" +
      ErrorOf(decoded).ToString() + "\"");
  reply.kind = ReplyKind::kInDoubt;
  co_return reply;
}

}  // namespace basilspur::cell
