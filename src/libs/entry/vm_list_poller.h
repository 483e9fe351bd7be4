#ifndef BASILSPUR_ENTRY_VM_LIST_POLLER_H_
#define BASILSPUR_ENTRY_VM_LIST_POLLER_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "entry/membership.h"
#include "infra/vm_directory.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// Returns the records that bring the state in line with the platform's list of
/// VMs: new, changed and unlisted VMs, and the end of the live entries on
/// unlisted VMs. `missed_list_counts` holds the number of consecutive lists
/// from which a VM was missing, by VM name; after two of them it is unlisted.
/// An empty list is ignored. Thread safety: any thread, while the state does
/// not change.
std::vector<records::RecordBody> DiffVmList(
    const state::ClusterState& state, const std::vector<infra::ListedVm>& list,
    std::map<std::string, int>& missed_list_counts);

/// Polls the platform's list of VMs on a thread of its own and records the
/// changes. Changes of a VM are recorded by one of the entries that are up.
///
/// Thread safety: any thread.
class VmListPoller {
 public:
  /// Precondition: all references outlive the object.
  VmListPoller(records::EntryRef self,
               std::unique_ptr<infra::VmDirectory> directory, Millis interval,
               const replica::Replica& replica, replica::LogWriter& writer,
               const Membership& membership);
  ~VmListPoller();

  VmListPoller(const VmListPoller&) = delete;
  VmListPoller& operator=(const VmListPoller&) = delete;

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
  const Membership& membership_;
  std::map<std::string, int> missed_list_counts_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_VM_LIST_POLLER_H_
