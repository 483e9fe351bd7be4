#ifndef BASILSPUR_BASE_LOG_BUDGET_H_
#define BASILSPUR_BASE_LOG_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace basilspur {

/// Bounds how many lines of each kind of event a log takes, so that trouble
/// which repeats neither hides other lines nor takes the process's time.
///
/// Thread safety: one thread at a time.
class LogBudget {
 public:
  struct Limits {
    double lines_per_second = 20;  ///< Of one kind of event.
    double burst = 80;             ///< That may come at once.
  };

  explicit LogBudget(Limits limits) : limits_(limits) {}

  /// The number of lines of this kind that were left out before it, if the line
  /// may be written now; -1 if it is to be left out.
  std::int64_t Take(std::string_view sentence, Millis now);
  /// A line that Take let through could not be written; `lines` counts it and
  /// those that Take said were left out before it.
  void OnDropped(std::string_view sentence, std::int64_t lines);

  /// What a line is counted as: NAME in a sentence that begins with
  /// "event=NAME", and one kind for all others.
  static std::string_view KindOf(std::string_view sentence);

 private:
  struct Bucket {
    double lines = 0;
    Millis filled;
    std::int64_t left_out = 0;
  };

  Limits limits_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_LOG_BUDGET_H_
