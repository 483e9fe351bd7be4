#ifndef BASILSPUR_CELL_OWNER_RECORD_H_
#define BASILSPUR_CELL_OWNER_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cell/cell_load.h"

namespace basilspur::cell {

/// The topic of owner records. The partition is the cell.
inline constexpr char kOwnersTopic[] = "keyed.owners";

/// A previous owner that may still act, because it has not confirmed that it
/// stepped down.
struct FormerOwner {
  std::string node;
  std::string incarnation;
  std::string address;

  bool operator==(const FormerOwner& other) const = default;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.node, self.incarnation, self.address);
  }
};

/// A VM that does not answer the owner. The owner does not extend its lease
/// until a later record that omits it is in force.
struct UnreachableVmRecord {
  std::string vm;
  /// Upper bound of its remaining lease when the record was written.
  std::int64_t lease_remaining_ms = 0;
  /// Start of the worker that holds the lease, in Unix ms; 0: unknown.
  std::int64_t worker_start_ms = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.lease_remaining_ms, self.worker_start_ms);
  }
};

/// States who owns a cell. Each record is appended only if the partition has
/// not changed since its writer read it. The offset of the claim, the record
/// that begins an ownership, is the fencing token of that ownership.
///
/// Thread safety: a plain value.
struct OwnerRecord {
  std::string node;
  std::string incarnation;  ///< Identifies the node's process.
  std::string address;      ///< Where peers reach the owner.
  std::int64_t token = -1;  ///< -1 in a claim.
  std::int64_t term = 0;    ///< Counts ownerships from 1.
  bool vacant = false;      ///< The owner has released the cell.
  /// Previous owners that are not known to have stopped.
  std::vector<FormerOwner> former_owners;
  CellLoad load;  ///< When the record was written.
  std::vector<UnreachableVmRecord> unreachable_vms;
  /// In a vacant record: the journal lists every run.
  bool journal_complete = false;
  /// In a vacant record: the incarnation of the entry that should claim the
  /// cell at once; empty: none.
  std::string successor;
  /// How often in a row owners have released the cell because their requests
  /// had waited too long.
  int overload_releases = 0;
  /// In a vacant record: VMs that the owner has not reached for too short a
  /// time to be among `unreachable_vms`. The next owner may extend their
  /// leases.
  std::vector<UnreachableVmRecord> unreached_vms;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.node, self.incarnation, self.address, self.token, self.term,
            self.vacant, self.former_owners, self.load, self.unreachable_vms,
            self.journal_complete, self.successor, self.overload_releases,
            self.unreached_vms);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_OWNER_RECORD_H_
