#ifndef BASILSPUR_JOBS_DATA_CENTER_CLOSURES_H_
#define BASILSPUR_JOBS_DATA_CENTER_CLOSURES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace basilspur::jobs {

/// The data centers in which operators have closed the VMs to new runs. Runs
/// that execute there are not affected: the other data centers have just lost
/// capacity, and a VM that really leaves announces it.
///
/// Handles the load after a data center is opened again: its VMs have few runs
/// and may be slow at first, but would attract all waiting work at once. For a
/// while, other VMs are preferred, and the share of a VM that best-effort runs
/// may use grows from nothing to all of it.
///
/// Thread safety: a plain value.
class DataCenterClosures {
 public:
  /// The order to close `data_center` is in force; `version` is its offset in
  /// the operators' log. Returns whether the data center was open.
  bool Close(std::string_view data_center, std::int64_t version);
  /// The order was withdrawn before the offset `version`. Returns whether the
  /// data center was closed. Does nothing if a later order closed it: a read
  /// of the log may repeat records that the preceding read covered.
  bool Open(std::string_view data_center, std::int64_t version, Millis now);
  bool IsClosed(std::string_view data_center) const {
    return closed_.contains(data_center);
  }
  /// Whether the data center was opened a short while ago, so that VMs
  /// elsewhere are preferred for new runs.
  bool IsReopening(std::string_view data_center, Millis now) const;
  /// Percentage of a VM's processors in the data center that best-effort runs
  /// may use; below 100 only for a while after it was opened again.
  int BestEffortPercent(std::string_view data_center, Millis now) const;
  /// The closed data centers and the versions of the orders that closed them.
  const std::map<std::string, std::int64_t, std::less<>>& Closed() const {
    return closed_;
  }

 private:
  std::map<std::string, std::int64_t, std::less<>> closed_;
  std::map<std::string, Millis, std::less<>> opened_at_;  ///< Once closed.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_DATA_CENTER_CLOSURES_H_
