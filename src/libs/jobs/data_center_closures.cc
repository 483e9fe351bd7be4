#include "jobs/data_center_closures.h"

namespace basilspur::jobs {

/// How long other data centers are preferred to one that was opened again, and
/// how long it takes until its VMs get as much best-effort work as others. A
/// batch job may still end within its objective after such a wait.
static constexpr Millis kReopeningDuration(3'000);

bool DataCenterClosures::Close(std::string_view data_center,
                               std::int64_t version) {
  const auto [entry, is_new] =
      closed_.insert_or_assign(std::string(data_center), version);
  return is_new;
}

bool DataCenterClosures::Open(std::string_view data_center,
                              std::int64_t version, Millis now) {
  const auto closed = closed_.find(data_center);
  if (closed == closed_.end() || closed->second > version) return false;
  opened_at_.insert_or_assign(closed->first, now);
  closed_.erase(closed);
  return true;
}

bool DataCenterClosures::IsReopening(std::string_view data_center,
                                     Millis now) const {
  const auto opened = opened_at_.find(data_center);
  return opened != opened_at_.end() &&
         now - opened->second < kReopeningDuration;
}

int DataCenterClosures::BestEffortPercent(std::string_view data_center,
                                          Millis now) const {
  if (!IsReopening(data_center, now)) return 100;
  const Millis elapsed = now - opened_at_.find(data_center)->second;
  return static_cast<int>(100 * elapsed.count / kReopeningDuration.count);
}

}  // namespace basilspur::jobs
