#ifndef BASILSPUR_ENTRY_DIRECTORY_WATCHER_H_
#define BASILSPUR_ENTRY_DIRECTORY_WATCHER_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "entry/presence.h"
#include "infra/vm_directory.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// The records that bring the state in line with the platform's list.
/// `absences` counts, by VM, in how many lists in a row it was missing; a VM
/// is gone after two. An empty list counts as no list.
/// Thread safety: any thread, while the state does not change.
std::vector<records::RecordBody> CompareWithList(
    const state::ClusterState& state, const std::vector<infra::ListedVm>& list,
    std::map<std::string, int>& absences);

/// Reads the platform's list of VMs and records what changed; on a thread of
/// its own. For each VM one entry does so.
///
/// Thread safety: any thread.
class DirectoryWatcher {
 public:
  /// Precondition: all references outlive the object.
  DirectoryWatcher(records::EntryRef self,
                   std::unique_ptr<infra::VmDirectory> directory,
                   Millis interval, const replica::Replica& replica,
                   replica::LogWriter& writer, const Presence& presence);
  ~DirectoryWatcher();

  DirectoryWatcher(const DirectoryWatcher&) = delete;
  DirectoryWatcher& operator=(const DirectoryWatcher&) = delete;

  void Start();
  void Stop();

 private:
  void Run();
  void Step();

  const records::EntryRef self_;
  std::unique_ptr<infra::VmDirectory> directory_;
  const Millis interval_;
  const replica::Replica& replica_;
  replica::LogWriter& writer_;
  const Presence& presence_;
  std::map<std::string, int> absences_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_DIRECTORY_WATCHER_H_
