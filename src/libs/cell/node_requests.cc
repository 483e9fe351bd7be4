#include <utility>

#include "base/logging.h"
#include "cell/node.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("node");
/// Stands for the incarnation of an address that refuses connections.
static constexpr char kNoProcess[] = "-";
static constexpr char kJobPath[] = "/jobs";
static constexpr char kProbePath[] = "/probe";
static constexpr char kDelegationPath[] = "/delegations";
/// Steps of a call that has failed before the peer had the whole request.
static constexpr char kLimitStep[] = "limit";
static constexpr char kConnectStep[] = "connect";
static constexpr char kSendStep[] = "send";
/// In a probe: the entry asks for no cell, only whether an owner is reached.
static constexpr int kNoCell = -1;
/// Establishing a connection may take 500 ms.
static constexpr Millis kMinTellingTimeout(500);
static constexpr Millis kProbeTimeout(800);
static constexpr Millis kDelegationTimeout(800);

template <class Message>
static std::string EncodeBody(const Message& message) {
  const records::Bytes bytes = records::Encode(message);
  return std::string(bytes.begin(), bytes.end());
}

template <class Message>
static Result<Message> DecodeBody(const std::string& body) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(body.data());
  return records::Decode<Message>(std::span(bytes, body.size()));
}

net::asio::awaitable<Result<net::HttpResponse>> Node::Post(std::string address,
                                                           const char* path,
                                                           std::string body,
                                                           Millis timeout) {
  net::HttpRequest message;
  message.method = "POST";
  message.target = path;
  message.body = std::move(body);
  co_return co_await peers_.Call(std::move(address), std::move(message),
                                 timeout);
}

template <class Reply>
net::asio::awaitable<Result<Reply>> Node::PostToPeer(std::string address,
                                                     const char* path,
                                                     std::string body,
                                                     Millis timeout) {
  const Result<net::HttpResponse> answer =
      co_await Post(std::move(address), path, std::move(body), timeout);
  if (!IsOk(answer)) co_return ErrorOf(answer);
  co_return DecodeBody<Reply>(ValueOf(answer).body);
}

net::asio::awaitable<std::optional<std::string>> Node::ServePeerCall(
    std::string path, std::string body, Millis age) {
  if (path == kJobPath) {
    const auto request = DecodeBody<JobRequest>(body);
    if (!IsOk(request)) co_return std::nullopt;
    co_return EncodeBody(co_await HandlePeerRequest(ValueOf(request), age));
  }
  if (path == kProbePath) {
    const auto probe = DecodeBody<OwnerProbe>(body);
    if (!IsOk(probe)) co_return std::nullopt;
    co_return EncodeBody(HandleProbe(ValueOf(probe), age));
  }
  if (path == kDelegationPath) {
    const auto request = DecodeBody<DelegationRequest>(body);
    if (!IsOk(request)) co_return std::nullopt;
    NoteRead(ValueOf(request).cell, age);
    co_return EncodeBody(co_await HandleDelegation(ValueOf(request)));
  }
  co_return std::nullopt;
}

net::asio::awaitable<net::HttpResponse> Node::HandlePeerCall(
    net::HttpRequest request) {
  net::HttpResponse response;
  std::optional<std::string> body = co_await ServePeerCall(
      request.target, std::move(request.body), request.age);
  if (body) {
    response.body = std::move(*body);
    co_return response;
  }
  kLog.Warning(
      "event=peer_call_rejected reason=\"unknown path or undecodable body; "
      "answering 400\" path=" +
      request.target);
  response.status = 400;
  co_return response;
}

net::asio::awaitable<DelegationReply> Node::HandleDelegation(
    DelegationRequest request) {
  DelegationReply reply;
  const bool known =
      request.cell >= 0 && request.cell < static_cast<int>(members_.size());
  if (known && members_[request.cell]->Owner()) {
    const std::shared_ptr<CellMember> member = members_[request.cell];
    reply = co_await member->Owner()->HandleDelegation(
        std::move(request.delegation));
  }
  reply.incarnation = settings_.identity.incarnation;
  co_return reply;
}

static void LogDelegationNotServed(const DelegationRequest& request,
                                   const std::string& owner,
                                   const std::string& reason, Millis took) {
  kLog.Info("event=delegation_not_served reason=\"" + reason +
            "; sent again later\" cell=" + std::to_string(request.cell) +
            " job=" + request.delegation.job +
            " tasks=" + std::to_string(request.delegation.tasks.size()) +
            " owner=" + owner + " took_ms=" + std::to_string(took.count));
}

net::asio::awaitable<DelegationReply> Node::SendDelegation(
    DelegationRequest request) {
  const std::shared_ptr<CellMember> member = MemberFor(request.cell);
  if (member->Owner()) co_return co_await HandleDelegation(std::move(request));
  const std::optional<OwnerRecord> owner = member->KnownOwner();
  if (!owner || owner->incarnation == settings_.identity.incarnation) {
    LogDelegationNotServed(request, "", "no owner is known", Millis(0));
    member->OnOwnerDoubted();
    co_return DelegationReply();
  }
  const Millis started = clock_.Monotonic();
  const auto reply = co_await PostToPeer<DelegationReply>(
      owner->address, kDelegationPath, EncodeBody(request), kDelegationTimeout);
  if (IsOk(reply) && ValueOf(reply).served) co_return ValueOf(reply);
  LogDelegationNotServed(request, owner->address,
                         IsOk(reply) ? "the entry does not serve the cell"
                                     : ErrorOf(reply).ToString(),
                         clock_.Monotonic() - started);
  member->OnOwnerDoubted();
  co_return DelegationReply();
}

void Node::NoteRead(int cell, Millis age) {
  const bool known = cell >= 0 && cell < static_cast<int>(members_.size());
  if (known) members_[cell]->OnRequestRead(age);
}

void Node::OnPeerCallAbandoned(Millis age) {
  forwarder_.OnCallAbandoned(age);
  // The cell that it was for is not known.
  for (const auto& member : members_) member->OnRequestRead(age);
}

OwnerProbeReply Node::HandleProbe(const OwnerProbe& probe, Millis age) {
  NoteRead(probe.cell, age);
  const Millis now = clock_.Monotonic();
  const bool known =
      probe.cell >= 0 && probe.cell < static_cast<int>(members_.size());
  OwnerProbeReply reply;
  reply.incarnation = settings_.identity.incarnation;
  if (known) reply = members_[probe.cell]->HandleProbe(probe);
  contacts_.OnProbeReceived(probe, reply, OwnedCells() > 0, now);
  return reply;
}

net::asio::awaitable<Result<OwnerProbeReply>> Node::ProbePeer(
    std::string address, OwnerProbe probe) {
  const auto answer = co_await PostToPeer<OwnerProbeReply>(
      address, kProbePath, EncodeBody(probe), kProbeTimeout);
  contacts_.OnProbeAnswer(address, answer, clock_.Monotonic());
  co_return answer;
}

void Node::CheckPeers() {
  const Millis now = clock_.Monotonic();
  if (members_.empty() || !contacts_.Reachability().ShouldCheckPeer(now))
    return;
  const std::optional<std::string> address =
      contacts_.Peers().ChooseToCheck(now);
  if (!address) return;
  OwnerProbe probe;
  probe.incarnation = settings_.identity.incarnation;
  probe.cell = kNoCell;
  probe.address = settings_.identity.peer_address;
  net::Spawn(
      context_,
      [](Node& node, std::string peer,
         OwnerProbe sent) -> net::asio::awaitable<void> {
        co_await node.ProbePeer(std::move(peer), std::move(sent));
      }(*this, *address, probe),
      "peer_check");
}

void Node::LogReachability() {
  const bool cut_off = IsCutOff();
  if (cut_off == logged_cut_off_) return;
  logged_cut_off_ = cut_off;
  const ReachabilityPolicy& policy = contacts_.Reachability();
  const Millis now = clock_.Monotonic();
  const std::string fields =
      " failed_addresses=" + std::to_string(policy.FailedAddresses()) +
      " failing_ms=" +
      std::to_string((now - policy.FailingSince().value_or(now)).count);
  if (cut_off) {
    kLog.Warning(
        "event=entry_cut_off reason=\"no owner is reached; not ready until one "
        "or an entry that reaches one answers\"" +
        fields);
    return;
  }
  kLog.Info("event=entry_reaches_owners" + fields);
}

net::asio::awaitable<JobReply> Node::HandlePeerRequest(JobRequest request,
                                                       Millis age) {
  const bool known =
      request.cell >= 0 && request.cell < static_cast<int>(members_.size());
  if (known) co_return co_await forwarder_.ServePeer(std::move(request), age);
  JobReply reply;
  if (request.kind == RequestKind::kStepDown)
    reply.kind = ReplyKind::kSteppedDown;
  reply.incarnation = settings_.identity.incarnation;
  co_return reply;
}

net::asio::awaitable<JobReply> Node::Handle(JobRequest request) {
  if (layout_.cells == 0) co_return JobReply{ReplyKind::kUnavailable};
  if (request.kind == RequestKind::kCount) {
    co_return co_await CountAllCells(std::move(request));
  }
  request.cell = layout_.CellOfJob(request.job);
  co_return co_await forwarder_.Forward(std::move(request));
}

net::asio::awaitable<JobReply> Node::CountAllCells(JobRequest request) {
  const Millis deadline = clock_.Monotonic() + Millis(request.timeout_ms);
  JobReply sum{ReplyKind::kCount};
  for (int cell = 0; cell < layout_.cells; ++cell) {
    request.cell = cell;
    request.timeout_ms = (deadline - clock_.Monotonic()).count;
    const JobReply reply = co_await forwarder_.Forward(request);
    if (reply.kind != ReplyKind::kCount) co_return reply;
    sum.count += reply.count;
  }
  co_return sum;
}

void Node::NoteCall(const std::string& address, const Error& error,
                    Millis timeout) {
  const bool silent =
      error.code == ErrorCode::kTimeout ||
      (error.step == kConnectStep && error.code != ErrorCode::kRefused);
  // A call with little time left says nothing of the peer.
  if (silent && timeout >= kMinTellingTimeout)
    contacts_.OnNoAnswer(address, clock_.Monotonic());
}

net::asio::awaitable<JobReply> Node::CallPeer(std::string address,
                                              JobRequest request,
                                              Millis timeout) {
  const Result<net::HttpResponse> answer =
      co_await Post(address, kJobPath, EncodeBody(request), timeout);
  JobReply reply;
  if (!IsOk(answer)) {
    const Error& error = ErrorOf(answer);
    NoteCall(address, error, timeout);
    if (error.code == ErrorCode::kRefused) reply.incarnation = kNoProcess;
    const bool not_sent = error.step == kLimitStep ||
                          error.step == kConnectStep || error.step == kSendStep;
    if (!not_sent) reply.kind = ReplyKind::kInDoubt;
    co_return reply;
  }
  contacts_.OnAnswer(address, clock_.Monotonic());
  const auto decoded = DecodeBody<JobReply>(ValueOf(answer).body);
  if (!IsOk(decoded)) {
    kLog.Error(
        "event=peer_reply_invalid reason=\"the request may have been executed; "
        "retrying\" error=\"" +
        ErrorOf(decoded).ToString() + "\"");
    reply.kind = ReplyKind::kInDoubt;
    co_return reply;
  }
  reply = ValueOf(decoded);
  const bool refused = reply.kind == ReplyKind::kNotOwner ||
                       reply.kind == ReplyKind::kBusy ||
                       reply.kind == ReplyKind::kUnavailable;
  // The first copy was sent on a connection that broke, and may have been
  // executed.
  if (refused && ValueOf(answer).is_to_second_copy)
    reply.kind = ReplyKind::kInDoubt;
  co_return reply;
}

}  // namespace basilspur::cell
