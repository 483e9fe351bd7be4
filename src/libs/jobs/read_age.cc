#include "jobs/read_age.h"

namespace basilspur::jobs {

/// Number of failures in a row from which on the log counts as unreadable. The
/// first read to fail after a pause of the process was sent before it, and says
/// nothing about the store.
static constexpr int kFailuresWithoutStore = 2;

void ReadAge::OnReachedEnd() {
  known_as_of_ = sent_at_;
  failures_ = 0;
}

void ReadAge::Reset() {
  known_as_of_.reset();
  failures_ = 0;
}

std::optional<Millis> ReadAge::AgeAt(Millis now) const {
  if (!known_as_of_) return std::nullopt;
  return now - *known_as_of_;
}

bool ReadAge::IsCurrent(Millis now) const {
  if (settings_.max_age <= Millis(0)) return true;
  const std::optional<Millis> age = AgeAt(now);
  if (!age) return false;
  if (*age <= settings_.max_age) return true;
  return !settings_.holds_without_store && failures_ >= kFailuresWithoutStore;
}

}  // namespace basilspur::jobs
