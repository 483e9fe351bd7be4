#ifndef BASILSPUR_LEASE_LEASE_SETTINGS_H_
#define BASILSPUR_LEASE_LEASE_SETTINGS_H_

#include "base/clock.h"

namespace basilspur::lease {

/// Timing of the lease protocol, in milliseconds.
struct LeaseSettings {
  /// A worker stops a run when this time has passed since the last renewal of
  /// its lease.
  Millis length{10'000};
  /// Interval between lease renewals; has to be well below `length`.
  Millis renew_interval{1'000};
  /// Upper bound on the drift between two clocks over the length of a lease.
  Millis clock_drift{1'000};
  /// A gap between two successive steps that is longer than this counts as a
  /// pause of the process.
  Millis pause_threshold{2'000};
};

}  // namespace basilspur::lease

#endif  // BASILSPUR_LEASE_LEASE_SETTINGS_H_
