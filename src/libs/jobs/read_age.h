#ifndef BASILSPUR_JOBS_READ_AGE_H_
#define BASILSPUR_JOBS_READ_AGE_H_

#include <optional>

#include "base/clock.h"

namespace basilspur::jobs {

/// How old the knowledge from a log in the store may become before starts that
/// depend on it are held back.
struct ReadAgeSettings {
  Millis max_age;  ///< 0: unlimited.
  /// Whether the limit also holds while the log can't be read at all. If not,
  /// an entry that is cut off from the store goes on with what it knows.
  bool holds_without_store = false;
};

/// As of when a log in the store is known: the log as read to its end is known
/// as of the time at which that read was sent.
///
/// Handles the load after a pause of the process, a slow store and a long list
/// that takes seconds to read: starts would follow records that were replaced
/// long before.
///
/// Thread safety: one thread at a time.
class ReadAge {
 public:
  explicit ReadAge(ReadAgeSettings settings) : settings_(settings) {}

  /// A read is sent. Reads do not overlap.
  void OnSent(Millis now) { sent_at_ = now; }
  /// The read that was sent last has reached the end of the log.
  void OnReachedEnd();
  /// The read that was sent last has failed.
  void OnFailed() { ++failures_; }
  /// What was read has been forgotten.
  void Reset();

  /// Empty until the log has been read to its end once.
  std::optional<Millis> AgeAt(Millis now) const;
  /// Whether the log is known well enough for starts. Never true before it has
  /// been read to its end once, if there is a limit.
  bool IsCurrent(Millis now) const;

 private:
  ReadAgeSettings settings_;
  Millis sent_at_;
  std::optional<Millis> known_as_of_;
  int failures_ = 0;  ///< Since the last read that reached the end.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_READ_AGE_H_
