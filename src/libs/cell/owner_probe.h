#ifndef BASILSPUR_CELL_OWNER_PROBE_H_
#define BASILSPUR_CELL_OWNER_PROBE_H_

#include <optional>
#include <string>
#include <vector>

#include "cell/cell_load.h"
#include "jobs/tail_record.h"

namespace basilspur::cell {

/// An entry asks another one whether it owns a cell.
struct OwnerProbe {
  int cell = 0;
  std::string incarnation;  ///< Identifies the asking process.
  std::string data_center;  ///< Of the asking entry.
  /// The asking entry should take over other cells only if no other entry can:
  /// it owns a cell already, or its machine is slow.
  bool burdened = false;
  bool wants_tails = false;
  std::string address;  ///< For other entries' calls to the asking entry.
  /// The asking entry does not claim the cell: it leaves or has yielded it.
  bool abstains = false;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.cell, self.incarnation, self.data_center, self.burdened,
            self.wants_tails, self.address, self.abstains);
  }
};

struct OwnerProbeReply {
  std::string incarnation;  ///< Identifies the process that replied.
  /// The replying process owns the cell, and no other entry can have replaced
  /// it.
  bool owns = false;
  bool candidate = false;  ///< See CandidateList.
  CellLoad load;
  /// The owner's estimates; empty if they were not asked for.
  std::optional<jobs::TailRecord> tails = {};
  /// The replying entry owns a cell, or has reached an owner lately.
  bool reaches_owner = false;
  /// Addresses of some entries that the replying one knows.
  std::vector<std::string> peers = {};

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.incarnation, self.owns, self.candidate, self.load, self.tails,
            self.reaches_owner, self.peers);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_OWNER_PROBE_H_
