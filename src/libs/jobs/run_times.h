#ifndef BASILSPUR_JOBS_RUN_TIMES_H_
#define BASILSPUR_JOBS_RUN_TIMES_H_

#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace basilspur::jobs {

/// Run times by image, learned from completed runs. Callers' estimates are off
/// by half.
///
/// Thread safety: one thread at a time.
class RunTimes {
 public:
  /// Records a completed run that was not throttled.
  void Add(const std::string& image, Millis took);

  /// Returns the mean run time. Empty until a run of the image has completed.
  std::optional<Millis> Expected(const std::string& image) const;

  /// Returns a time that most runs do not exceed. Empty until a run of the
  /// image has completed.
  std::optional<Millis> UpperBound(const std::string& image) const;

 private:
  struct Estimate {
    double mean_ms = 0;
    double deviation_ms = 0;  ///< Mean absolute deviation.
    int runs = 0;             ///< Not counted beyond the smoothing's length.
  };

  std::map<std::string, Estimate> estimates_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RUN_TIMES_H_
