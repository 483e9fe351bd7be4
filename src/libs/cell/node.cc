#include "cell/node.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"
#include "base/logging.h"
#include "cell/leaving.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("node");
static constexpr char kLayoutTopic[] = "keyed.layout";
static constexpr char kLayoutKey[] = "layout";
/// How long a node goes on reading the list of VMs that it does not need.
static constexpr Millis kDirectoryLinger(10'000);
/// One probe, and one request beside it.
static constexpr int kMaxCallsToSilentPeer = 2;

Node::Node(net::asio::io_context& context, Store& store, VmClient& vms,
           Directory& directory, const Clock& clock, NodeSettings settings)
    : context_(context),
      store_(store),
      vm_client_(vms),
      directory_(directory),
      clock_(clock),
      settings_(std::move(settings)),
      peers_(context, {kMaxCallsToSilentPeer}),
      lag_watch_(settings_.lag),
      contacts_(settings_.identity.peer_address),
      forwarder_(
          context, clock, settings_.forward,
          {settings_.identity.incarnation, settings_.identity.peer_address},
          contacts_, MakeForwarderCallbacks()) {}

Node::~Node() = default;

void Node::Start() {
  layout_watcher_ = std::make_shared<TopicWatcher>(
      store_, Partition{kLayoutTopic, 0}, WatchSettings{},
      [this](const KeyedRecord& record) { OnLayout(record); },
      [this](std::int64_t end) { layout_end_ = end; });
  layout_watcher_->Start(context_);
  StartTicks();
}

void Node::StartTicks() {
  net::Spawn(context_, Run(), "node_ticks", [this] { StartTicks(); });
}

RequestForwarder::Callbacks Node::MakeForwarderCallbacks() {
  RequestForwarder::Callbacks callbacks;
  callbacks.member = [this](int cell) { return MemberFor(cell); };
  callbacks.call_peer = [this](std::string address, JobRequest request,
                               Millis timeout) {
    return CallPeer(std::move(address), std::move(request), timeout);
  };
  return callbacks;
}

bool Node::IsReady() const {
  return catalog_.version >= 0 && layout_.cells > 0 && !leaving_ && !IsCutOff();
}

bool Node::IsCutOff() const {
  return contacts_.Reachability().IsCutOff(OwnedCells() > 0,
                                           clock_.Monotonic());
}

void Node::OnCatalog(jobs::Catalog catalog) {
  catalog_ = std::move(catalog);
  for (const auto& member : members_) {
    if (member->Owner()) member->Owner()->OnCatalog(catalog_);
  }
}

void Node::OnClosures(const jobs::DataCenterClosures& closures) {
  closures_ = closures;
  for (const auto& member : members_) {
    if (member->Owner()) member->Owner()->OnClosures(closures_);
  }
}

void Node::OnLayout(const KeyedRecord& record) {
  if (record.key != kLayoutKey || layout_.cells > 0) return;
  // An entry that leaves would not hand over cells that it takes now.
  if (leaving_) return;
  const auto decoded = records::Decode<Layout>(record.value);
  if (!IsOk(decoded) || ValueOf(decoded).cells <= 0) {
    kLog.Error(
        "event=layout_skipped reason=\"the record does not describe at least "
        "one cell\"");
    return;
  }
  layout_ = ValueOf(decoded);
  balancer_.emplace(layout_.cells);
  kLog.Info("event=layout_loaded cells=" + std::to_string(layout_.cells));
  for (int cell = 0; cell < layout_.cells; ++cell) {
    const std::uint64_t seed =
        StableHash(settings_.identity.incarnation + "/" + std::to_string(cell));
    members_.push_back(std::make_shared<CellMember>(
        context_, store_, clock_, settings_.identity, settings_.election,
        CellMember::Position{cell, layout_.cells}, seed,
        MakeMemberCallbacks(cell)));
  }
  member_starts_.emplace(layout_.cells,
                         StableHash(settings_.identity.incarnation));
  StartDueMembers();
}

void Node::StartDueMembers() {
  for (const int cell : member_starts_->Due(clock_.Monotonic()))
    members_[cell]->Start();
}

const std::shared_ptr<CellMember>& Node::MemberFor(int cell) {
  if (member_starts_->Request(cell)) members_[cell]->Start();
  return members_[cell];
}

CellMember::Callbacks Node::MakeMemberCallbacks(int cell) {
  CellMember::Callbacks callbacks;
  callbacks.make_owner = [this](CellOwner::Ownership ownership,
                                CellOwner::Standing standing) {
    return MakeOwner(ownership, std::move(standing));
  };
  callbacks.call_peer = [this](std::string address, JobRequest request,
                               Millis timeout) {
    return CallPeer(std::move(address), std::move(request), timeout);
  };
  callbacks.probe_peer = [this](std::string address, OwnerProbe probe) {
    return ProbePeer(std::move(address), std::move(probe));
  };
  callbacks.on_load = [this, cell](const CellLoad& load) {
    balancer_->OnLoad(cell, load);
  };
  callbacks.on_tail_record = [this, cell](const jobs::TailRecord& record) {
    OnTailRecord(cell, record);
  };
  return callbacks;
}

void Node::InitializeTails(CellOwner& owner, int owned) {
  for (const auto& [cell, record] : tail_records_) {
    if (cell == owned) {
      owner.RestoreTails(record);
    } else {
      owner.MergeTails(cell, record);
    }
  }
}

void Node::OnTailRecord(int cell, const jobs::TailRecord& record) {
  tail_records_[cell] = record;
  for (int other = 0; other < layout_.cells; ++other) {
    CellOwner* owner = members_[other]->Owner();
    if (owner && other != cell) owner->MergeTails(cell, record);
  }
}

bool Node::NeedsDirectory() const {
  // The layout is made from the list.
  if (layout_.cells == 0) return layout_end_ >= 0;
  return std::any_of(members_.begin(), members_.end(), [](const auto& member) {
    return member->Owns() || member->MayTakeOver();
  });
}

void Node::UpdateDirectory() {
  const Millis now = clock_.Monotonic();
  if (NeedsDirectory()) {
    directory_needed_at_ = now;
    StartDirectory();
    return;
  }
  if (!directory_started_ || now - directory_needed_at_ < kDirectoryLinger)
    return;
  directory_.Stop();
  directory_started_ = false;
  vms_.clear();
}

void Node::StartDirectory() {
  if (directory_started_) return;
  directory_started_ = true;
  admission_.OnListStarted(clock_.Monotonic());
  Directory::Callbacks callbacks;
  callbacks.on_listed = [this](const jobs::VmListing& vm) { OnVmListed(vm); };
  callbacks.on_unlisted = [this](const std::string& id) { OnVmUnlisted(id); };
  directory_.Start(std::move(callbacks));
}

void Node::OnVmListed(const jobs::VmListing& listing) {
  if (!vms_.contains(listing.id)) {
    last_new_vm_ = clock_.Monotonic();
    admission_.OnNewVm(last_new_vm_);
  }
  vms_[listing.id] = listing;
  if (layout_.cells == 0) return;
  const auto& member = members_[layout_.CellOfRack(listing.rack)];
  if (member->Owner()) member->Owner()->OnVmListed(listing);
}

void Node::OnVmUnlisted(const std::string& id) {
  const auto found = vms_.find(id);
  if (found == vms_.end()) return;
  if (layout_.cells > 0) {
    const auto& member = members_[layout_.CellOfRack(found->second.rack)];
    if (member->Owner()) member->Owner()->OnVmUnlisted(id);
  }
  vms_.erase(found);
  admission_.OnVmGone(clock_.Monotonic());
}

int Node::OwnedCells() const {
  return static_cast<int>(
      std::count_if(members_.begin(), members_.end(),
                    [](const auto& member) { return member->Owns(); }));
}

std::map<int, jobs::CellSummary> Node::Summaries() const {
  std::map<int, jobs::CellSummary> summaries;
  for (std::size_t cell = 0; cell < members_.size(); ++cell) {
    const CellOwner* owner = members_[cell]->Owner();
    if (!owner || !owner->IsReady()) continue;
    summaries[static_cast<int>(cell)] =
        owner->SchedulerState().Summary(clock_.Monotonic());
  }
  return summaries;
}

std::map<int, jobs::DelegationCounts> Node::Delegations() const {
  std::map<int, jobs::DelegationCounts> counts;
  for (std::size_t cell = 0; cell < members_.size(); ++cell) {
    const CellOwner* owner = members_[cell]->Owner();
    if (!owner) continue;
    counts[static_cast<int>(cell)] =
        owner->SchedulerState().CountsOfDelegations();
  }
  return counts;
}

void Node::CheckLag(Millis took) {
  if (!lag_watch_.OnTick(settings_.tick_interval, took, clock_.Monotonic()))
    return;
  for (const auto& member : members_) {
    if (!member->Owns()) continue;
    net::Spawn(context_, member->Yield(settings_.yield_cooldown), "cell_yield");
    return;
  }
}

net::asio::awaitable<void> Node::Run() {
  for (;;) {
    const Millis slept = clock_.Monotonic();
    co_await net::Sleep(settings_.tick_interval);
    CheckLag(clock_.Monotonic() - slept);
    // An owner needs the configuration to schedule the jobs that it restores.
    if (catalog_.version >= 0) {
      if (member_starts_) StartDueMembers();
      for (std::size_t cell = 0; cell < members_.size(); ++cell) {
        if (member_starts_->HasStarted(static_cast<int>(cell)))
          members_[cell]->Tick(OwnedCells());
      }
    }
    UpdateDirectory();
    CheckPeers();
    LogReachability();
    if (layout_.cells > 0 || layout_end_ < 0 || writing_layout_) continue;
    const bool listing_stable =
        !vms_.empty() &&
        clock_.Monotonic() - last_new_vm_ >= settings_.layout_delay;
    if (!listing_stable || catalog_.version < 0) continue;
    writing_layout_ = true;
    net::Spawn(context_, WriteLayout(), "layout_writer",
               [this] { writing_layout_ = false; });
  }
}

net::asio::awaitable<void> Node::WriteLayout() {
  std::vector<jobs::VmListing> listings;
  for (const auto& [id, listing] : vms_) listings.push_back(listing);
  const Layout layout =
      MakeLayout(listings, settings_.vms_per_cell, settings_.max_cells,
                 settings_.spread_data_centers);
  // Only the first writer succeeds. The watcher reads the layout that is
  // stored.
  const KeyedRecord written{kLayoutKey, records::Encode(layout), 0};
  std::vector<KeyedRecord> records(1, written);
  const Partition partition{kLayoutTopic, 0};
  co_await store_.AppendAt(partition, 0, std::move(records));
  writing_layout_ = false;
}

net::asio::awaitable<bool> Node::Leave(Millis limit) {
  leaving_ = true;
  co_return co_await LeaveAll(context_, members_, limit);
}

}  // namespace basilspur::cell
