#ifndef BASILSPUR_CELL_HOST_CONTACTS_H_
#define BASILSPUR_CELL_HOST_CONTACTS_H_

#include <map>
#include <set>

#include "base/clock.h"

namespace basilspur::cell {

/// How long the owners of the cells that host tasks of this cell have served
/// none of its delegations. It does no input or output.
///
/// Thread safety: one thread at a time.
class HostContacts {
 public:
  /// A delegation was sent to the owner of `cell`.
  void OnSent(int cell, Millis now);
  /// The owner has served one.
  void OnServed(int cell) { hosts_.erase(cell); }
  /// How long ago the first delegation was sent that nothing was served after;
  /// 0: the last one was served, or none was sent.
  Millis SilenceOf(int cell, Millis now) const;
  /// The cells that have been silent for `min_silence`.
  std::set<int> SilentFor(Millis min_silence, Millis now) const;
  /// Whether a log line about the silent cell is due; true once in `interval`.
  bool ShouldLog(int cell, Millis interval, Millis now);

 private:
  struct Host {
    Millis silent_since;
    Millis logged_at;  ///< 0: not yet.
  };

  std::map<int, Host> hosts_;  ///< Those that are silent, by cell.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_HOST_CONTACTS_H_
