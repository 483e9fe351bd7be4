#ifndef BASILSPUR_ENTRY_LEASE_MANAGER_H_
#define BASILSPUR_ENTRY_LEASE_MANAGER_H_

#include <atomic>
#include <memory>
#include <string>

#include "base/clock.h"
#include "lease/lease_settings.h"
#include "metrics/registry.h"
#include "records/specs.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

class Membership;
class PressureManager;

/// Renews the leases on the VMs that this entry owns, starts and stops their
/// runs, and records how they end; on a thread of its own.
///
/// Thread safety: any thread.
class LeaseManager {
 public:
  /// `pressure` may be null: interference is then ignored.
  /// Precondition: all references outlive the object.
  LeaseManager(records::EntryRef self, const lease::LeaseSettings& settings,
               Millis worker_timeout, const replica::Replica& replica,
               replica::LogWriter& writer, const Membership& membership,
               std::unique_ptr<PressureManager> pressure,
               metrics::Registry& metrics, const Clock& clock);
  ~LeaseManager();

  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  void Start();
  void Stop();

  /// Stops renewals, and records for each VM that it has been released. Does
  /// not wait for completion.
  void ReleaseAll();

  /// True once the log shows that this entry may renew no lease.
  bool HasReleasedAll() const;

  /// Why the end of a job's run on an owned VM can't be determined; else empty.
  std::string RunEndObstacleOf(const std::string& job) const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_LEASE_MANAGER_H_
