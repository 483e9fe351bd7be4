#ifndef BASILSPUR_LEASE_VM_VIEW_H_
#define BASILSPUR_LEASE_VM_VIEW_H_

#include <string>
#include <vector>

#include "records/specs.h"
#include "state/cluster_state.h"

namespace basilspur::lease {

/// A current run on a VM according to the log.
struct RunView {
  records::RunRef run;
  records::JobSpec job;
  std::string checkpoint;
  bool stop_requested = false;
  records::Resources charged;
  bool throttled = false;  ///< The worker is to throttle the run.
};

/// The state of a VM according to the log, from the point of view of one entry.
/// A renewer is an entry that may still send messages to the worker of the VM.
struct VmView {
  std::string vm;
  std::string worker_address;
  bool owned = false;     ///< This entry is the owner.
  bool stopping = false;  ///< This entry is shutting down.
  bool standby = false;   ///< This entry is the standby for the owner.
  std::string owner;      ///< Name of the owner; empty if there is none.
  /// The owner is not among the entries that are up.
  bool owner_unreachable = false;
  /// This entry is a renewer: it may send messages to the worker and has not
  /// released the VM.
  bool may_renew = false;
  bool marked_unreachable = false;  ///< The log marks the VM as unreachable.
  std::int64_t renewers_version = 0;
  /// This entry is the only renewer: all others have released the VM or have
  /// ended.
  bool sole_renewer = false;
  /// No entry but this one may start runs: the only other renewer, if any, is
  /// the standby.
  bool sole_starter = false;
  records::Resources capacity;
  std::vector<std::string> services;  ///< Services with an executor on the VM.
  std::vector<RunView> runs;
};

/// The view that entry `self` has of a VM; `stopping`, `owner_unreachable`,
/// `services` and `throttled` are left for the caller to set.
/// Thread safety: any thread, while the state does not change.
VmView ViewOf(const state::ClusterState& state, const state::Vm& vm,
              const records::EntryRef& self);

}  // namespace basilspur::lease

#endif  // BASILSPUR_LEASE_VM_VIEW_H_
