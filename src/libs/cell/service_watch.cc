#include "cell/service_watch.h"

#include <algorithm>

namespace basilspur::cell {

void ServiceWatch::Start(Millis now) {
  window_ = last_ = Window();
  window_started_ = serving_since_ = now;
  late_since_.reset();
}

void ServiceWatch::OnRequest(Millis age) {
  ++window_.requests;
  if (age > settings_.max_request_age) ++window_.late;
  window_.max_age = std::max(window_.max_age, age);
}

void ServiceWatch::EndWindow(Millis now) {
  last_ = window_;
  window_ = Window();
  window_started_ = now;
  const bool is_late = last_.requests >= settings_.min_requests &&
                       2 * last_.late >= last_.requests;
  if (!is_late) {
    late_since_.reset();
    return;
  }
  serving_since_ = now;
  // The requests of one window may have waited while the machine was suspended,
  // so the time is counted from its end.
  if (!late_since_) late_since_ = now;
}

bool ServiceWatch::ShouldRelease(int earlier_releases, Millis now) {
  const Millis elapsed = now - window_started_;
  if (elapsed < settings_.window) return false;
  const bool is_telling = window_.requests >= settings_.min_requests;
  if (!is_telling && elapsed < settings_.max_window) return false;
  EndWindow(now);
  if (!late_since_) return false;
  const int doublings = std::min(earlier_releases, settings_.max_doublings);
  return now - *late_since_ >= settings_.patience * (1LL << doublings);
}

bool ServiceWatch::HasRecovered(Millis now) const {
  return now - serving_since_ >= settings_.recovery;
}

}  // namespace basilspur::cell
