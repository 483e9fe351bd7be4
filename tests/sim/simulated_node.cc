#include "sim/simulated_node.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hashing.h"
#include "cell/cell_choices.h"
#include "cell/eligible_cells.h"
#include "cell/leaving.h"

namespace basilspur::sim {

static constexpr Millis kTickInterval(100);
static constexpr Millis kMinTellingTimeout(500);
static constexpr Millis kLeaveLimit(3'000);

int CellOfJob(const std::string& job, int cells) {
  return static_cast<int>(StableHash(job) % static_cast<std::uint64_t>(cells));
}

int CellOfVm(const jobs::VmListing& vm) { return std::stoi(vm.rack); }

SimulatedNode::SimulatedNode(Environment environment,
                             cell::CellMember::Identity identity,
                             std::uint64_t seed)
    : environment_(std::move(environment)),
      identity_(std::move(identity)),
      store_(environment_.network, environment_.store, environment_.faults,
             environment_.clock, environment_.random),
      vm_client_(environment_.network, environment_.clock, environment_.faults,
                 environment_.random, environment_.find_vm,
                 environment_.need_of),
      orders_(context_, store_, environment_.clock, environment_.closure_bound),
      directory_(
          context_, store_, environment_.clock,
          environment_.closure_bound > Millis(0) ? kDrainBound : Millis(0)),
      member_starts_(environment_.cells, seed),
      balancer_(environment_.cells),
      contacts_(identity_.peer_address),
      forwarder_(context_, environment_.clock, cell::ForwardSettings(),
                 {identity_.incarnation, identity_.peer_address}, contacts_,
                 MakeForwarderCallbacks()),
      traced_ownerships_(environment_.cells) {
  // With no candidates, a silent owner is noticed by probes and requests only.
  cell::ElectionSettings settings;
  settings.max_candidates = environment_.max_candidates;
  for (int cell = 0; cell < environment_.cells; ++cell) {
    members_.push_back(std::make_shared<cell::CellMember>(
        context_, store_, environment_.clock, identity_, settings,
        cell::CellMember::Position{cell, environment_.cells},
        seed + static_cast<std::uint64_t>(cell), MakeMemberCallbacks(cell)));
  }
}

cell::CellMember::Callbacks SimulatedNode::MakeMemberCallbacks(int cell) {
  cell::CellMember::Callbacks callbacks;
  callbacks.make_owner = [this](cell::CellOwner::Ownership ownership,
                                cell::CellOwner::Standing standing) {
    return MakeOwner(std::move(ownership), std::move(standing));
  };
  callbacks.call_peer = [this](std::string address, cell::JobRequest request,
                               Millis timeout) {
    return CallOther(std::move(address), std::move(request), timeout);
  };
  callbacks.probe_peer = [this](std::string address, cell::OwnerProbe probe) {
    return ProbeOther(std::move(address), std::move(probe));
  };
  callbacks.on_load = [this, cell](const cell::CellLoad& load) {
    balancer_.OnLoad(cell, load);
  };
  callbacks.on_tail_record = [](const jobs::TailRecord&) {};
  return callbacks;
}

SimulatedNode::~SimulatedNode() {
  // A member refers to itself through its watcher. It is kept reachable, as its
  // process would keep it to its end.
  static auto* const retired =
      new std::vector<std::shared_ptr<cell::CellMember>>();
  for (auto& member : members_) {
    member->OnStepDownRequest(std::numeric_limits<std::int64_t>::max());
    retired->push_back(std::move(member));
  }
}

void SimulatedNode::Start() {
  if (environment_.closure_bound > Millis(0)) FollowOperators();
  StartDueMembers();
  net::asio::co_spawn(context_, RunTicks(), net::asio::detached);
}

void SimulatedNode::StartDueMembers() {
  for (const int cell : member_starts_.Due(environment_.clock.Monotonic()))
    members_[cell]->Start();
}

const std::shared_ptr<cell::CellMember>& SimulatedNode::MemberFor(int cell) {
  if (member_starts_.Request(cell)) members_[cell]->Start();
  return members_[cell];
}

int SimulatedNode::OwnedCells() const {
  return static_cast<int>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& member) { return member->Owns(); }));
}

bool SimulatedNode::Poll() {
  context_.restart();
  return context_.poll() > 0;
}

std::shared_ptr<cell::CellOwner> SimulatedNode::MakeOwner(
    cell::CellOwner::Ownership ownership, cell::CellOwner::Standing standing) {
  StartDirectory();
  cell::CellOwner::Callbacks callbacks;
  cell::AddCellChoices(callbacks, balancer_, [this] {
    return cell::Fleet{vms_, closures_, CellOfVm};
  });
  callbacks.forward_request = [this](cell::JobRequest request) {
    return Handle(std::move(request));
  };
  callbacks.send_delegation = [this](cell::DelegationRequest request) {
    return DelegateTo(std::move(request));
  };
  callbacks.may_start = [this] {
    return orders_.AreCurrent() && directory_.IsCurrent();
  };
  const int number = ownership.cell;
  environment_.trace.Add(
      "owner " + identity_.incarnation +
      " cell=" + std::to_string(ownership.cell) +
      " token=" + std::to_string(ownership.token) +
      " term=" + std::to_string(ownership.term) + " handed_over=" +
      std::to_string(static_cast<int>(ownership.handed_over)) +
      " journal_complete=" +
      std::to_string(static_cast<int>(ownership.journal_complete)) +
      " unreachable=" + std::to_string(ownership.unreachable_vms.size()) +
      " known_vms=" + std::to_string(vms_.size()));
  cell::CellOwnerSettings settings;
  settings.scheduler.preempt = true;
  auto owner = std::make_shared<cell::CellOwner>(
      context_, store_, vm_client_, environment_.clock, settings,
      std::move(ownership), std::move(callbacks), std::move(standing));
  owner->OnCatalog(environment_.catalog);
  owner->OnClosures(closures_);
  for (const auto& [id, listing] : vms_) {
    if (CellOfVm(listing) == number) owner->OnVmListed(listing);
  }
  return owner;
}

net::asio::awaitable<void> SimulatedNode::RunTicks() {
  for (;;) {
    co_await net::Sleep(kTickInterval);
    StartDueMembers();
    for (int cell = 0; cell < environment_.cells; ++cell) {
      if (!member_starts_.HasStarted(cell)) continue;
      members_[cell]->Tick(OwnedCells());
      TraceOwnership(cell);
    }
    CheckPeers();
  }
}

void SimulatedNode::TraceOwnership(int cell) {
  const cell::CellOwner* owner = members_[cell]->Owner();
  std::string text = "ended";
  if (owner) text = owner->IsReady() ? "ready" : "taking over";
  if (text == traced_ownerships_[cell]) return;
  traced_ownerships_[cell] = text;
  environment_.trace.Add("ownership " + identity_.incarnation +
                         " cell=" + std::to_string(cell) + " " + text);
}

net::asio::awaitable<cell::DelegationReply> SimulatedNode::DelegateTo(
    cell::DelegationRequest request) {
  const std::shared_ptr<cell::CellMember> member = MemberFor(request.cell);
  if (member->Owner()) co_return co_await HandleDelegation(request);
  const std::optional<cell::OwnerRecord> owner = member->KnownOwner();
  if (!owner || owner->incarnation == identity_.incarnation)
    co_return cell::DelegationReply();
  const cell::DelegationReply reply =
      co_await environment_.send_delegation(owner->address, request);
  if (!reply.served) member->OnOwnerDoubted();
  co_return reply;
}

net::asio::awaitable<cell::DelegationReply> SimulatedNode::HandleDelegation(
    cell::DelegationRequest request) {
  cell::CellOwner* owner = members_[request.cell]->Owner();
  if (!owner) co_return cell::DelegationReply();
  co_return co_await owner->HandleDelegation(request.delegation);
}

net::asio::awaitable<void> SimulatedNode::RunLeave(
    std::function<void()> on_left) {
  co_await cell::LeaveAll(context_, members_, kLeaveLimit);
  on_left();
}

void SimulatedNode::Leave(std::function<void()> on_left) {
  net::asio::co_spawn(context_, RunLeave(std::move(on_left)),
                      net::asio::detached);
}

cell::RequestForwarder::Callbacks SimulatedNode::MakeForwarderCallbacks() {
  cell::RequestForwarder::Callbacks callbacks;
  callbacks.member = [this](int cell) { return MemberFor(cell); };
  callbacks.call_peer = [this](std::string address, cell::JobRequest request,
                               Millis timeout) {
    return CallOther(std::move(address), std::move(request), timeout);
  };
  return callbacks;
}

net::asio::awaitable<cell::JobReply> SimulatedNode::CallOther(
    std::string address, cell::JobRequest request, Millis timeout) {
  const cell::JobReply reply =
      co_await environment_.call_peer(address, std::move(request), timeout);
  const Millis now = environment_.clock.Monotonic();
  const bool silent = reply.incarnation.empty();
  if (!silent) contacts_.OnAnswer(address, now);
  if (silent && timeout >= kMinTellingTimeout)
    contacts_.OnNoAnswer(address, now);
  co_return reply;
}

net::asio::awaitable<Result<cell::OwnerProbeReply>> SimulatedNode::ProbeOther(
    std::string address, cell::OwnerProbe probe) {
  const auto answer =
      co_await environment_.probe_peer(address, std::move(probe));
  contacts_.OnProbeAnswer(address, answer, environment_.clock.Monotonic());
  co_return answer;
}

cell::OwnerProbeReply SimulatedNode::HandleProbe(
    const cell::OwnerProbe& probe) {
  const Millis now = environment_.clock.Monotonic();
  cell::OwnerProbeReply reply;
  reply.incarnation = identity_.incarnation;
  if (probe.cell >= 0)
    members_[probe.cell]->OnRequestRead(environment_.faults.request_wait);
  if (probe.cell >= 0) reply = members_[probe.cell]->HandleProbe(probe);
  contacts_.OnProbeReceived(probe, reply, OwnedCells() > 0, now);
  return reply;
}

void SimulatedNode::CheckPeers() {
  const Millis now = environment_.clock.Monotonic();
  if (!contacts_.Reachability().ShouldCheckPeer(now)) return;
  const auto address = contacts_.Peers().ChooseToCheck(now);
  if (!address) return;
  cell::OwnerProbe probe;
  probe.cell = -1;
  probe.incarnation = identity_.incarnation;
  probe.address = identity_.peer_address;
  net::asio::co_spawn(context_, ProbeOther(*address, probe),
                      net::asio::detached);
}

bool SimulatedNode::IsCutOff() const {
  return contacts_.Reachability().IsCutOff(OwnedCells() > 0,
                                           environment_.clock.Monotonic());
}

net::asio::awaitable<cell::JobReply> SimulatedNode::HandlePeerRequest(
    cell::JobRequest request) {
  const Millis age = environment_.faults.request_wait;
  return forwarder_.ServePeer(std::move(request), age);
}

net::asio::awaitable<cell::JobReply> SimulatedNode::Handle(
    cell::JobRequest request) {
  if (!request.moved) request.cell = CellOfJob(request.job, environment_.cells);
  return forwarder_.Forward(std::move(request));
}

}  // namespace basilspur::sim
