#ifndef BASILSPUR_BASE_LOG_RATE_LIMITER_H_
#define BASILSPUR_BASE_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace basilspur {

/// Limits the rate of log lines per event name (token buckets), so that a
/// repeated fault neither hides other lines nor takes up the process's time.
///
/// Thread safety: one thread at a time.
class LogRateLimiter {
 public:
  /// Limits that apply to each event name separately.
  struct Limits {
    double lines_per_second = 20;
    double burst = 80;  ///< Maximum of lines that may follow at once.
  };

  explicit LogRateLimiter(Limits limits) : limits_(limits) {}

  /// Returns -1 if the line is to be left out. Otherwise, the line may be
  /// written now, and the result is the number of lines with the same event
  /// name that were left out before it.
  std::int64_t Admit(std::string_view message, Millis now);
  /// To be called if a line that Admit() accepted could not be written. `lines`
  /// is that line plus the number that Admit() returned for it.
  void OnLinesDropped(std::string_view message, std::int64_t lines);

  /// Returns NAME for a message that begins with "event=NAME", and an empty
  /// name for all other messages, which share one limit.
  static std::string_view EventNameOf(std::string_view message);

 private:
  struct Bucket {
    double tokens = 0;
    Millis refilled_at;
    std::int64_t left_out = 0;
  };

  Limits limits_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_LOG_RATE_LIMITER_H_
