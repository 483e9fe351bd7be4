#include <utility>

#include "base/logging.h"
#include "cell/node.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("node");
/// In place of the incarnation where no process listens.
static constexpr char kNoProcess[] = "-";
static constexpr char kPeerPath[] = "/jobs";

net::asio::awaitable<JobReply> Node::HandlePeer(JobRequest request) {
  JobReply reply;
  const bool known =
      request.cell >= 0 && request.cell < static_cast<int>(members_.size());
  if (request.kind == RequestKind::kStandDown) {
    if (known) members_[request.cell]->OnStandDown(request.token);
    reply.kind = ReplyKind::kStoodDown;
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
    co_return co_await CountAll(std::move(request));
  }
  request.cell = layout_.CellOfJob(request.job);
  co_return co_await Ask(std::move(request));
}

net::asio::awaitable<JobReply> Node::CountAll(JobRequest request) {
  JobReply sum{ReplyKind::kCount};
  for (int cell = 0; cell < layout_.cells; ++cell) {
    request.cell = cell;
    const JobReply reply = co_await Ask(request);
    if (reply.kind != ReplyKind::kCount) co_return reply;
    sum.count += reply.count;
  }
  co_return sum;
}

net::asio::awaitable<JobReply> Node::Ask(JobRequest request) {
  const Millis began = clock_.Monotonic();
  const Millis patience = Millis(request.patience_ms) - settings_.answer_margin;
  bool in_doubt = false;
  for (;;) {
    const Millis spent = clock_.Monotonic() - began;
    const Millis left = patience - spent;
    const bool over =
        left <= Millis(0) || (!in_doubt && spent > settings_.owner_patience);
    if (over) {
      co_return JobReply{in_doubt ? ReplyKind::kInDoubt
                                  : ReplyKind::kUnavailable};
    }
    JobReply reply = co_await AskOnce(request, left);
    if (reply.kind == ReplyKind::kMoved && !request.moved) {
      request.cell = reply.count;
      request.moved = true;
      continue;
    }
    if (reply.kind == ReplyKind::kInDoubt) in_doubt = true;
    const bool again =
        reply.kind == ReplyKind::kNotOwner || reply.kind == ReplyKind::kInDoubt;
    // What was in doubt can't be refused any more.
    const bool refused =
        reply.kind == ReplyKind::kBusy || reply.kind == ReplyKind::kUnavailable;
    if (!again && !(in_doubt && refused)) co_return reply;
    co_await net::Sleep(settings_.owner_retry);
  }
}

net::asio::awaitable<JobReply> Node::AskOnce(JobRequest request,
                                             Millis patience) {
  const std::shared_ptr<CellMember> member = members_[request.cell];
  request.patience_ms = patience.count;
  if (member->Owner()) {
    co_return co_await member->Owner()->Handle(std::move(request));
  }
  const std::optional<OwnerRecord> owner = member->KnownOwner();
  if (!owner || owner->incarnation == settings_.identity.incarnation) {
    co_return JobReply{ReplyKind::kNotOwner};
  }
  JobReply reply =
      co_await AskPeer(owner->address, std::move(request), patience);
  // Another process replied, or nothing listens there: the owner is gone.
  if (!reply.incarnation.empty() && reply.incarnation != owner->incarnation) {
    member->OnOwnerDead(owner->incarnation);
  }
  co_return reply;
}

net::asio::awaitable<JobReply> Node::AskPeer(std::string address,
                                             JobRequest request,
                                             Millis patience) {
  net::HttpRequest message;
  message.method = "POST";
  message.target = kPeerPath;
  const records::Bytes body = records::Encode(request);
  message.body.assign(body.begin(), body.end());
  const Result<net::HttpResponse> answer =
      co_await peers_.Call(std::move(address), std::move(message), patience);
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
  kLog.Error("event=peer_reply_unreadable error=\"" +
             ErrorOf(decoded).ToString() + "\"");
  reply.kind = ReplyKind::kInDoubt;
  co_return reply;
}

}  // namespace basilspur::cell
