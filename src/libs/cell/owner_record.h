#ifndef BASILSPUR_CELL_OWNER_RECORD_H_
#define BASILSPUR_CELL_OWNER_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cell/cell_load.h"

namespace basilspur::cell {

/// An owner before, that may still act because nobody could tell it.
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

/// A VM that does not answer the owner. The owner extends its lease no more
/// until a later record does not name it.
struct SilentVmRecord {
  std::string vm;
  std::int64_t lease_left_ms = 0;  ///< At most, when the record was written.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.vm, self.lease_left_ms);
  }
};

/// Says who owns a cell. Written on a condition, so that records follow one
/// another without gaps; the offset of the record that began an ownership is
/// its fencing token.
///
/// Thread safety: a plain value.
struct OwnerRecord {
  std::string node;
  std::string incarnation;  ///< Of the node's process.
  std::string address;      ///< Where peers reach the owner.
  std::int64_t token = -1;  ///< -1 in the record that begins an ownership.
  std::int64_t term = 0;    ///< Counts ownerships from 1.
  bool vacant = false;      ///< The owner has given the cell up.
  std::vector<FormerOwner> former;  ///< Not known to be gone.
  CellLoad load;                    ///< When the record was written.
  std::vector<SilentVmRecord> silent;
  bool whole = false;  ///< If vacant: the journal names every run.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.node, self.incarnation, self.address, self.token, self.term,
            self.vacant, self.former, self.load, self.silent, self.whole);
  }
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_OWNER_RECORD_H_
