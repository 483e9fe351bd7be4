#ifndef BASILSPUR_INTERFERENCE_MIX_HISTORY_H_
#define BASILSPUR_INTERFERENCE_MIX_HISTORY_H_

#include <deque>

#include "base/clock.h"
#include "interference/mix.h"

namespace basilspur::interference {

/// The recent workload mixes of a VM. Measurements arrive late, so each has to
/// be matched with the mix at the time when it was taken.
///
/// Thread safety: one thread at a time.
class MixHistory {
 public:
  /// Records that the VM has this mix from `now` on. Precondition: `now` does
  /// not decrease between calls.
  void Add(const Mix& mix, Millis now);

  /// Returns the mix at the time `at` if it had not changed for `min_duration`
  /// before, else null. Valid until the next Add().
  const Mix* StableMixAt(Millis at, Millis min_duration) const;

 private:
  struct Entry {
    Millis since;
    Mix mix;
  };

  std::deque<Entry> entries_;
};

}  // namespace basilspur::interference

#endif  // BASILSPUR_INTERFERENCE_MIX_HISTORY_H_
