#ifndef BASILSPUR_STATE_VM_H_
#define BASILSPUR_STATE_VM_H_

#include <cstdint>
#include <set>
#include <string>

#include "records/specs.h"

namespace basilspur::state {

/// A VM with the resources charged to it and the entries that may send messages
/// to its worker.
struct Vm {
  records::VmSpec spec;
  bool leaving = false;      ///< The platform lists the VM as leaving.
  bool draining = false;     ///< Set by an operator.
  bool quarantined = false;  ///< Jobs that failed here finished elsewhere.
  bool unreachable = false;  ///< The worker does not respond to the owner.
  std::int64_t version = 0;
  records::Resources used;
  /// The owner; the name is empty if there is none.
  records::EntryRef owner;
  /// The entry that renews leases while the owner is unreachable; the name is
  /// empty if there is none.
  records::EntryRef standby;
  /// Entries that may still send messages to the worker, including the owner
  /// and the standby.
  std::set<records::EntryRef> renewers;
  /// Increases with every change of `renewers` and with every claim.
  std::int64_t renewers_version = 0;
  std::set<std::string> running_jobs;
  /// Jobs that have failed here since a job last finished here.
  std::set<std::string> failed_jobs;
  /// Jobs that failed here and then finished elsewhere, since a job last
  /// finished here or an operator returned the VM to service.
  std::set<std::string> finished_elsewhere;

  /// Returns true if new runs may be placed on this VM.
  bool AcceptsRuns() const {
    return !leaving && !draining && !quarantined && !unreachable &&
           !spec.worker_address.empty();
  }

  /// Removes an entry that sends no further messages to the worker, also as
  /// owner and standby.
  void RemoveRenewer(const records::EntryRef& entry) {
    if (renewers.erase(entry) > 0) ++renewers_version;
    if (owner == entry) owner = {};
    if (standby == entry) standby = {};
  }

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.leaving, self.draining, self.quarantined,
            self.version, self.used, self.owner, self.renewers,
            self.running_jobs, self.failed_jobs, self.finished_elsewhere,
            self.unreachable, self.renewers_version, self.standby);
  }
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_VM_H_
