#include "cell/lag_watch.h"

namespace basilspur::cell {

bool LagWatch::OnTick(Millis interval, Millis took, Millis now) {
  const auto late = static_cast<double>((took - interval).count);
  // One long pause is a suspension, not a lack of processor time.
  const double most = 4 * static_cast<double>(settings_.limit.count);
  late_ms_ += settings_.gain * ((late < most ? late : most) - late_ms_);
  if (now < rests_until_) return false;
  if (late_ms_ <= static_cast<double>(settings_.limit.count)) return false;
  rests_until_ = now + settings_.rest;
  late_ms_ = 0;
  return true;
}

}  // namespace basilspur::cell
