#include "cell/node.h"

#include <algorithm>
#include <utility>

#include "base/hashing.h"
#include "base/logging.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("node");
static constexpr char kLayoutTopic[] = "keyed.layout";
static constexpr char kLayoutKey[] = "layout";

Node::Node(net::asio::io_context& context, Store& store, VmClient& vms,
           Directory& directory, const Clock& clock, NodeSettings settings)
    : context_(context),
      store_(store),
      vm_client_(vms),
      directory_(directory),
      clock_(clock),
      settings_(std::move(settings)),
      peers_(context),
      lag_(settings_.lag) {}

Node::~Node() = default;

void Node::Start() {
  layout_watcher_ = std::make_shared<TopicWatcher>(
      store_, Partition{kLayoutTopic, 0}, WatchSettings{},
      [this](const KeyedRecord& record) { OnLayout(record); },
      [this](std::int64_t end) { layout_end_ = end; });
  net::asio::co_spawn(context_, layout_watcher_->Run(), net::asio::detached);
  net::asio::co_spawn(context_, Run(), net::asio::detached);
}

bool Node::IsReady() const {
  return catalog_.version >= 0 && layout_.cells > 0 && !leaving_;
}

void Node::OnCatalog(jobs::Catalog catalog) {
  catalog_ = std::move(catalog);
  for (const auto& member : members_) {
    if (member->Owner()) member->Owner()->OnCatalog(catalog_);
  }
}

void Node::OnLayout(const KeyedRecord& record) {
  if (record.key != kLayoutKey || layout_.cells > 0) return;
  const auto decoded = records::Decode<Layout>(record.value);
  if (!IsOk(decoded) || ValueOf(decoded).cells <= 0) {
    kLog.Error("event=layout_unreadable");
    return;
  }
  layout_ = ValueOf(decoded);
  balancer_.emplace(layout_.cells);
  kLog.Info("event=layout cells=" + std::to_string(layout_.cells));
  for (int cell = 0; cell < layout_.cells; ++cell) {
    const std::uint64_t seed =
        StableHash(settings_.identity.incarnation + "/" + std::to_string(cell));
    members_.push_back(std::make_shared<CellMember>(
        context_, store_, clock_, settings_.identity, settings_.election, cell,
        seed, MakeSurroundings(cell)));
    members_.back()->Start();
  }
}

CellMember::Surroundings Node::MakeSurroundings(int cell) {
  CellMember::Surroundings surroundings;
  surroundings.make_owner = [this](CellOwner::Ownership ownership,
                                   std::function<bool()> is_fresh,
                                   std::function<void()> on_deposed) {
    return MakeOwner(ownership, std::move(is_fresh), std::move(on_deposed));
  };
  surroundings.ask_peer = [this](std::string address, JobRequest request,
                                 Millis patience) {
    return AskPeer(std::move(address), std::move(request), patience);
  };
  surroundings.on_load = [this, cell](const CellLoad& load) {
    balancer_->OnLoad(cell, load);
  };
  surroundings.on_tails = [this, cell](const records::Bytes& record) {
    OnTails(cell, record);
  };
  return surroundings;
}

std::shared_ptr<CellOwner> Node::MakeOwner(CellOwner::Ownership ownership,
                                           std::function<bool()> is_fresh,
                                           std::function<void()> on_deposed) {
  FollowDirectory();
  CellOwner::Surroundings surroundings;
  surroundings.choose_cell = [this](int home, const std::string& job,
                                    const jobs::JobSpec& spec) {
    return balancer_->Choose(home, job, spec);
  };
  surroundings.ask = [this](JobRequest request) {
    return Ask(std::move(request));
  };
  auto owner = std::make_shared<CellOwner>(
      context_, store_, vm_client_, clock_, settings_.owner, ownership,
      std::move(surroundings), std::move(is_fresh), std::move(on_deposed));
  owner->OnCatalog(catalog_);
  TeachTails(*owner, ownership.cell);
  for (const auto& [id, listing] : vms_) {
    if (layout_.CellOfRack(listing.rack) == ownership.cell) {
      owner->OnVmListed(listing);
    }
  }
  return owner;
}

void Node::TeachTails(CellOwner& owner, int owned) {
  for (const auto& [cell, bytes] : tails_) {
    const auto record = records::Decode<jobs::TailRecord>(bytes);
    if (!IsOk(record)) continue;
    if (cell == owned) {
      owner.RestoreTails(ValueOf(record));
    } else {
      owner.LearnTails(cell, ValueOf(record));
    }
  }
}

void Node::OnTails(int cell, const records::Bytes& bytes) {
  tails_[cell] = bytes;
  if (OwnedCells() == 0) return;
  const auto record = records::Decode<jobs::TailRecord>(bytes);
  if (!IsOk(record)) {
    kLog.Error("event=tails_unreadable cell=" + std::to_string(cell) +
               " error=\"" + ErrorOf(record).ToString() + "\"");
    return;
  }
  for (int other = 0; other < layout_.cells; ++other) {
    CellOwner* owner = members_[other]->Owner();
    if (owner && other != cell) owner->LearnTails(cell, ValueOf(record));
  }
}

void Node::FollowDirectory() {
  if (directory_started_) return;
  directory_started_ = true;
  Directory::Callbacks callbacks;
  callbacks.on_listed = [this](const jobs::VmListing& vm) { OnListed(vm); };
  callbacks.on_gone = [this](const std::string& id) { OnGone(id); };
  directory_.Start(std::move(callbacks));
}

void Node::OnListed(const jobs::VmListing& listing) {
  if (!vms_.contains(listing.id)) newest_vm_ = clock_.Monotonic();
  vms_[listing.id] = listing;
  if (layout_.cells == 0) return;
  const auto& member = members_[layout_.CellOfRack(listing.rack)];
  if (member->Owner()) member->Owner()->OnVmListed(listing);
}

void Node::OnGone(const std::string& id) {
  const auto found = vms_.find(id);
  if (found == vms_.end()) return;
  if (layout_.cells > 0) {
    const auto& member = members_[layout_.CellOfRack(found->second.rack)];
    if (member->Owner()) member->Owner()->OnVmGone(id);
  }
  vms_.erase(found);
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
        owner->State().Summary(clock_.Monotonic());
  }
  return summaries;
}

void Node::CheckLag(Millis took) {
  if (!lag_.OnTick(settings_.tick, took, clock_.Monotonic())) return;
  for (const auto& member : members_) {
    if (!member->Owns()) continue;
    net::asio::co_spawn(context_, member->Yield(settings_.yield_pause),
                        net::asio::detached);
    return;
  }
}

net::asio::awaitable<void> Node::Run() {
  for (;;) {
    const Millis slept = clock_.Monotonic();
    co_await net::Sleep(settings_.tick);
    CheckLag(clock_.Monotonic() - slept);
    // An owner needs the configuration to judge what it finds.
    if (catalog_.version >= 0) {
      for (const auto& member : members_) member->Tick(OwnedCells());
    }
    if (layout_.cells > 0 || layout_end_ < 0 || writing_layout_) continue;
    FollowDirectory();
    const bool settled = !vms_.empty() && clock_.Monotonic() - newest_vm_ >=
                                              settings_.layout_wait;
    if (!settled || catalog_.version < 0) continue;
    writing_layout_ = true;
    net::asio::co_spawn(context_, WriteLayout(), net::asio::detached);
  }
}

net::asio::awaitable<void> Node::WriteLayout() {
  std::vector<jobs::VmListing> listings;
  for (const auto& [id, listing] : vms_) listings.push_back(listing);
  const Layout layout =
      MakeLayout(listings, settings_.vms_per_cell, settings_.most_cells);
  // Only the first writer succeeds; the watcher reads what it wrote.
  const KeyedRecord written{kLayoutKey, records::Encode(layout), 0};
  std::vector<KeyedRecord> records(1, written);
  const Partition partition{kLayoutTopic, 0};
  co_await store_.AppendAt(partition, 0, std::move(records));
  writing_layout_ = false;
}

net::asio::awaitable<void> Node::Leave() {
  leaving_ = true;
  for (const auto& member : members_) co_await member->Leave();
}

}  // namespace basilspur::cell
