#include "entry/directory_watcher.h"

#include <set>
#include <utility>

#include "base/logging.h"
#include "lease/claim_planner.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("vms");
static constexpr int kAbsencesUntilGone = 2;
static constexpr Millis kStopPollInterval(100);

std::vector<records::RecordBody> CompareWithList(
    const state::ClusterState& state, const std::vector<infra::ListedVm>& list,
    std::map<std::string, int>& absences) {
  std::vector<records::RecordBody> changes;
  if (list.empty()) return changes;
  std::set<std::string> listed;
  for (const auto& item : list) {
    listed.insert(item.spec.name);
    const auto known = state.VmTable().find(item.spec.name);
    const bool same = known != state.VmTable().end() &&
                      known->second.spec == item.spec &&
                      known->second.leaving == item.leaving;
    if (!same) changes.emplace_back(records::VmListed{item.spec, item.leaving});
  }
  std::erase_if(absences,
                [&](const auto& item) { return listed.contains(item.first); });
  for (const auto& [name, vm] : state.VmTable()) {
    if (listed.contains(name)) continue;
    if (++absences[name] < kAbsencesUntilGone) continue;
    changes.emplace_back(records::VmUnlisted{name});
    for (const auto& [entry, member] : state.MemberTable()) {
      if (!member.live || member.spec.vm != name) continue;
      changes.emplace_back(records::EntryEnded{{entry, member.incarnation}});
    }
  }
  return changes;
}

DirectoryWatcher::DirectoryWatcher(
    records::EntryRef self, std::unique_ptr<infra::VmDirectory> directory,
    Millis interval, const replica::Replica& replica,
    replica::LogWriter& writer, const Presence& presence)
    : self_(std::move(self)),
      directory_(std::move(directory)),
      interval_(interval),
      replica_(replica),
      writer_(writer),
      presence_(presence) {}

DirectoryWatcher::~DirectoryWatcher() { Stop(); }

void DirectoryWatcher::Start() {
  thread_ = std::thread([this] { Run(); });
}

void DirectoryWatcher::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void DirectoryWatcher::Run() {
  while (!stopping_) {
    if (presence_.HasSettled() && !replica_.LogIsDown()) Step();
    for (Millis waited; waited < interval_ && !stopping_;
         waited = waited + kStopPollInterval) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kStopPollInterval.count));
    }
  }
}

/// The VM that a change is about; empty for others.
static std::string VmOf(const records::RecordBody& body) {
  if (const auto* listed = std::get_if<records::VmListed>(&body)) {
    return listed->spec.name;
  }
  if (const auto* gone = std::get_if<records::VmUnlisted>(&body))
    return gone->vm;
  return "";
}

void DirectoryWatcher::Step() {
  const Result<std::vector<infra::ListedVm>> list = directory_->List();
  if (!IsOk(list)) {
    kLog.Warning("No list of VMs. " + ErrorOf(list).ToString() + ".");
    return;
  }
  const auto changes = replica_.Read([&](const state::ClusterState& state) {
    return CompareWithList(state, ValueOf(list), absences_);
  });
  const std::set<std::string> up = presence_.EntriesUp();
  for (const auto& body : changes) {
    const std::string vm = VmOf(body);
    if (!vm.empty() && lease::PreferredOwner(vm, up) != self_.name) continue;
    writer_.Submit(body, "", nullptr);
  }
}

}  // namespace basilspur::entry
