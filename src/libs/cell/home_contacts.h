#ifndef BASILSPUR_CELL_HOME_CONTACTS_H_
#define BASILSPUR_CELL_HOME_CONTACTS_H_

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"

namespace basilspur::cell {

struct HomeContactSettings {
  /// A home cell without a delegation for this long counts as silent. More than
  /// the interval at which delegations are sent again.
  Millis max_silence{1'500};
  /// A delegation that was sent after this much silence of this cell's owner
  /// does not show that the path works. Longer than a host keeps back an
  /// answer.
  Millis max_unserved{700};
  /// Interval at which the recalls of silent home cells are read.
  Millis read_interval{500};
};

/// Which cells, whose tasks this cell hosts, may be unable to reach this cell's
/// owner, so that it has to read their recalls from the store. It does no input
/// or output.
///
/// Thread safety: one thread at a time.
class HomeContacts {
 public:
  explicit HomeContacts(HomeContactSettings settings = {})
      : settings_(settings) {}

  /// A delegation of the home cell has arrived. When it was sent, this owner
  /// had served none for `unserved`.
  void OnDelegation(int home_cell, Millis unserved, Millis now);
  /// Whether a check for silent home cells is due; true once in an interval.
  bool ShouldCheck(Millis now);
  /// Returns those of `home_cells` that are silent.
  std::vector<int> SilentOf(const std::set<int>& home_cells, Millis now) const;

 private:
  HomeContactSettings settings_;
  std::map<int, Millis> heard_at_;  ///< By home cell.
  Millis checked_at_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_HOME_CONTACTS_H_
