#ifndef BASILSPUR_JOBS_QUEUE_OUTLOOK_H_
#define BASILSPUR_JOBS_QUEUE_OUTLOOK_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace basilspur::jobs {

/// Estimates when a cell that refuses jobs has room for them again, from the
/// rate at which its jobs ended. It is meant for a burst of callers that fills
/// the cell and returns after a refusal: the more jobs there are for each that
/// ends, the later they should return. It does no input or output.
///
/// Thread safety: one thread at a time.
class QueueOutlook {
 public:
  void OnJobEnded(Millis now);
  /// When a part of the `active` jobs will have ended.
  Millis RoomIn(std::size_t active, Millis now) const;

 private:
  static constexpr std::size_t kSeconds = 10;

  struct Second {
    std::int64_t number = -1;
    int ended = 0;
  };
  std::array<Second, kSeconds> ended_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_QUEUE_OUTLOOK_H_
