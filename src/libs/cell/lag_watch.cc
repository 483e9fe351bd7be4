#include "cell/lag_watch.h"

namespace basilspur::cell {

bool LagWatch::OnTick(Millis interval, Millis took, Millis now) {
  const auto lag = static_cast<double>((took - interval).count);
  // A single long delay is a suspension of the machine and no sign of overload,
  // so its part in the average is bounded.
  const double max_lag =
      4 * static_cast<double>(settings_.max_average_lag.count);
  average_lag_ms_ += settings_.smoothing_factor *
                     ((lag < max_lag ? lag : max_lag) - average_lag_ms_);
  if (now < cooldown_until_) return false;
  if (average_lag_ms_ <= static_cast<double>(settings_.max_average_lag.count))
    return false;
  cooldown_until_ = now + settings_.cooldown;
  average_lag_ms_ = 0;
  return true;
}

}  // namespace basilspur::cell
