#include "jobs/held_ends.h"

#include <algorithm>
#include <iterator>

namespace basilspur::jobs {

std::int64_t HeldEnds::LastBefore(const std::string& vm,
                                  std::int64_t end) const {
  const auto found = ends_.find(vm);
  if (found == ends_.end()) return end;
  for (const HeldEnd& held : found->second)
    end = std::min(end, held.number - 1);
  return end;
}

std::vector<std::string> HeldEnds::Release(
    const std::function<bool(const std::string& vm, const HeldEnd& end)>&
        must_hold) {
  std::vector<std::string> vms;
  for (auto it = ends_.begin(); it != ends_.end();) {
    const auto removed = std::erase_if(it->second, [&](const HeldEnd& end) {
      return !must_hold(it->first, end);
    });
    if (removed > 0) vms.push_back(it->first);
    it = it->second.empty() ? ends_.erase(it) : std::next(it);
  }
  return vms;
}

std::vector<HeldEnd> HeldEnds::ReleaseHeldForLateStarts(const std::string& vm) {
  std::vector<HeldEnd> released;
  const auto found = ends_.find(vm);
  if (found == ends_.end()) return released;
  std::erase_if(found->second, [&](const HeldEnd& end) {
    if (end.waits_for_later_run) return false;
    released.push_back(end);
    return true;
  });
  if (found->second.empty()) ends_.erase(found);
  return released;
}

}  // namespace basilspur::jobs
