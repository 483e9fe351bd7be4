#ifndef BASILSPUR_JOBS_HELD_ENDS_H_
#define BASILSPUR_JOBS_HELD_ENDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jobs/held_end.h"

namespace basilspur::jobs {

/// The ends of runs that VMs have listed and that must not be acknowledged yet.
/// An acknowledgement names the last of all ends that it covers.
///
/// Thread safety: one thread at a time.
class HeldEnds {
 public:
  void Add(const std::string& vm, const HeldEnd& end) {
    ends_[vm].push_back(end);
  }
  bool Has(const std::string& vm) const { return ends_.contains(vm); }
  /// Returns the newest end of the VM, up to `end`, that may be acknowledged.
  std::int64_t LastBefore(const std::string& vm, std::int64_t end) const;
  /// The VM has another worker, which numbers its ends anew.
  void RemoveAllOf(const std::string& vm) { ends_.erase(vm); }
  /// Removes the ends that need not be held any more. Returns their VMs.
  std::vector<std::string> Release(
      const std::function<bool(const std::string& vm, const HeldEnd& end)>&
          must_hold);
  /// Removes and returns the VM's ends that are held for late starts.
  std::vector<HeldEnd> ReleaseHeldForLateStarts(const std::string& vm);

 private:
  std::map<std::string, std::vector<HeldEnd>> ends_;  ///< By VM; none is empty.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_HELD_ENDS_H_
