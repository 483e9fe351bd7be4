#include <algorithm>
#include <utility>

#include "sim/call.h"
#include "sim/simulated_cell.h"

namespace basilspur::sim {

/// Stands for the incarnation of an address that refuses connections.
static constexpr char kNoProcess[] = "-";
static constexpr Millis kPeerTimeout(800);
static constexpr Millis kConnectTimeout(500);
static constexpr Millis kUnlimited(1'000'000);

net::asio::awaitable<std::optional<cell::JobReply>> SimulatedCell::Ask(
    int node, cell::JobRequest request, bool from_peer) {
  const std::shared_ptr<SimulatedNode> process = nodes_[node];
  if (!process) co_return std::nullopt;
  SimulatedNode& server = *process;
  auto execution = [](SimulatedNode& server, cell::JobRequest request,
                      bool from_peer)
      -> net::asio::awaitable<std::optional<cell::JobReply>> {
    if (from_peer) co_return co_await server.HandlePeerRequest(request);
    co_return co_await server.Handle(request);
  }(server, std::move(request), from_peer);
  co_return co_await Call(process->Context(), kUnlimited, std::move(execution));
}

template <class Reply>
net::asio::awaitable<std::optional<Result<Reply>>> SimulatedCell::Exchange(
    int from, int to,
    std::function<net::asio::awaitable<std::optional<Reply>>()> serve) {
  co_await net::Sleep(Millis(1 + static_cast<int>(random_.Below(5))));
  if (IsCut(from, to)) co_return std::nullopt;
  const Millis wait = faults_[to].request_wait;
  if (wait > Millis(0)) co_await net::Sleep(wait);
  if (!nodes_[to]) {
    co_return Result<Reply>(Error{ErrorCode::kRefused, "connect", "", ""});
  }
  const std::optional<Reply> reply = co_await serve();
  co_await net::Sleep(Millis(1 + static_cast<int>(random_.Below(5))));
  if (!reply || IsCut(to, from)) co_return std::nullopt;
  co_return Result<Reply>(*reply);
}

bool SimulatedCell::IsCut(int from, int to) const {
  return faults_[from].peers_cut || faults_[to].peers_cut ||
         faults_[from].cut_nodes.contains(to);
}

static int NodeAt(const std::string& address) {
  return std::stoi(address.substr(std::string(kNodePrefix).size()));
}

net::asio::awaitable<cell::JobReply> SimulatedCell::CallPeer(
    int from, std::string address, cell::JobRequest request, Millis timeout) {
  const int to = NodeAt(address);
  if (!nodes_[to] && faults_[to].peers_cut) {
    // The machine is lost: no connection is established, and none refused.
    co_await net::Sleep(std::min(timeout, kConnectTimeout));
    co_return cell::JobReply();
  }
  auto execution = Exchange<cell::JobReply>(
      from, to, [this, to, request] { return Ask(to, request, true); });
  const std::optional<Result<cell::JobReply>> reply =
      co_await Call(network_, timeout, std::move(execution));
  if (!reply) co_return cell::JobReply{cell::ReplyKind::kInDoubt};
  if (IsOk(*reply)) co_return ValueOf(*reply);
  cell::JobReply refused;
  refused.incarnation = kNoProcess;
  co_return refused;
}

template <class Reply>
net::asio::awaitable<std::optional<Reply>> SimulatedCell::Serve(
    int node, std::function<Reply(SimulatedNode&)> serve) {
  const std::shared_ptr<SimulatedNode> process = nodes_[node];
  if (!process) co_return std::nullopt;
  auto execution = [](SimulatedNode& server,
                      std::function<Reply(SimulatedNode&)> answer)
      -> net::asio::awaitable<std::optional<Reply>> {
    co_return answer(server);
  }(*process, std::move(serve));
  co_return co_await Call(process->Context(), kUnlimited, std::move(execution));
}

net::asio::awaitable<std::optional<cell::DelegationReply>>
SimulatedCell::ServeDelegation(int node, cell::DelegationRequest request) {
  const std::shared_ptr<SimulatedNode> process = nodes_[node];
  if (!process) co_return std::nullopt;
  auto execution = [](SimulatedNode& server, cell::DelegationRequest asked)
      -> net::asio::awaitable<std::optional<cell::DelegationReply>> {
    co_return co_await server.HandleDelegation(std::move(asked));
  }(*process, std::move(request));
  co_return co_await Call(process->Context(), kUnlimited, std::move(execution));
}

net::asio::awaitable<Result<cell::OwnerProbeReply>> SimulatedCell::ProbePeer(
    int from, std::string address, cell::OwnerProbe probe) {
  const int to = NodeAt(address);
  auto execution = Exchange<cell::OwnerProbeReply>(from, to, [this, to, probe] {
    return Serve<cell::OwnerProbeReply>(to, [probe](SimulatedNode& server) {
      return server.HandleProbe(probe);
    });
  });
  const std::optional<Result<cell::OwnerProbeReply>> reply =
      co_await Call(network_, kPeerTimeout, std::move(execution));
  if (reply) co_return *reply;
  co_return Error{ErrorCode::kTimeout, "receive", address, "no answer"};
}

net::asio::awaitable<cell::DelegationReply> SimulatedCell::SendDelegation(
    int from, std::string address, cell::DelegationRequest request) {
  const int to = NodeAt(address);
  auto execution = Exchange<cell::DelegationReply>(
      from, to, [this, to, request] { return ServeDelegation(to, request); });
  const std::optional<Result<cell::DelegationReply>> reply =
      co_await Call(network_, kPeerTimeout, std::move(execution));
  if (reply && IsOk(*reply)) co_return ValueOf(*reply);
  co_return cell::DelegationReply();
}

}  // namespace basilspur::sim
