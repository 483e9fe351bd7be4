#include "entry/vm_list_poller.h"

#include <set>
#include <utility>

#include "base/logging.h"
#include "lease/claim_planner.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("vms");
static constexpr int kMissedListsUntilUnlisted = 2;
static constexpr Millis kStopCheckInterval(100);

std::vector<records::RecordBody> DiffVmList(
    const state::ClusterState& state, const std::vector<infra::ListedVm>& list,
    std::map<std::string, int>& missed_list_counts) {
  std::vector<records::RecordBody> changes;
  if (list.empty()) return changes;
  std::set<std::string> listed;
  for (const auto& item : list) {
    listed.insert(item.spec.name);
    const auto stored = state.VmTable().find(item.spec.name);
    const bool unchanged = stored != state.VmTable().end() &&
                           stored->second.spec == item.spec &&
                           stored->second.leaving == item.leaving;
    if (!unchanged)
      changes.emplace_back(records::VmListed{item.spec, item.leaving});
  }
  std::erase_if(missed_list_counts,
                [&](const auto& item) { return listed.contains(item.first); });
  for (const auto& [name, vm] : state.VmTable()) {
    if (listed.contains(name)) continue;
    if (++missed_list_counts[name] < kMissedListsUntilUnlisted) continue;
    changes.emplace_back(records::VmUnlisted{name});
    for (const auto& [entry, member] : state.MemberTable()) {
      if (!member.live || member.spec.vm != name) continue;
      changes.emplace_back(records::EntryEnded{{entry, member.incarnation}});
    }
  }
  return changes;
}

VmListPoller::VmListPoller(records::EntryRef self,
                           std::unique_ptr<infra::VmDirectory> directory,
                           Millis interval, const replica::Replica& replica,
                           replica::LogWriter& writer,
                           const Membership& membership)
    : self_(std::move(self)),
      directory_(std::move(directory)),
      interval_(interval),
      replica_(replica),
      writer_(writer),
      membership_(membership) {}

VmListPoller::~VmListPoller() { Stop(); }

void VmListPoller::Start() {
  thread_ = std::thread([this] { Run(); });
}

void VmListPoller::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void VmListPoller::Run() {
  while (!stopping_) {
    if (membership_.HasInitialView() && !replica_.LogIsDown()) Step();
    for (Millis waited; waited < interval_ && !stopping_;
         waited = waited + kStopCheckInterval) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kStopCheckInterval.count));
    }
  }
}

/// Returns the VM that a record of DiffVmList() concerns; empty for records
/// about entries.
static std::string VmOfChange(const records::RecordBody& body) {
  if (const auto* listed = std::get_if<records::VmListed>(&body)) {
    return listed->spec.name;
  }
  if (const auto* unlisted = std::get_if<records::VmUnlisted>(&body))
    return unlisted->vm;
  return "";
}

void VmListPoller::Step() {
  const Result<std::vector<infra::ListedVm>> list = directory_->List();
  if (!IsOk(list)) {
    kLog.Warning(
        "List of VMs not read; the VMs in the state stay unchanged until the "
        "next poll. " +
        ErrorOf(list).ToString() + ".");
    return;
  }
  const auto changes = replica_.Read([&](const state::ClusterState& state) {
    return DiffVmList(state, ValueOf(list), missed_list_counts_);
  });
  const std::set<std::string> up = membership_.EntriesUp();
  for (const auto& body : changes) {
    const std::string vm = VmOfChange(body);
    if (!vm.empty() && lease::PreferredOwner(vm, up) != self_.name) continue;
    writer_.Submit(body, "", nullptr);
  }
}

}  // namespace basilspur::entry
