#ifndef BASILSPUR_JOBS_SENT_DELEGATIONS_H_
#define BASILSPUR_JOBS_SENT_DELEGATIONS_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "base/clock.h"

namespace basilspur::jobs {

struct Delegation;
struct SchedulerSettings;

/// When the delegations of each job were last sent to each of its hosts, and
/// what they said. Decides when they are sent again.
///
/// Thread safety: one thread at a time.
class SentDelegations {
 public:
  /// Precondition: `settings` outlive the object.
  explicit SentDelegations(const SchedulerSettings& settings)
      : settings_(settings) {}

  /// Whether the delegation is to be sent to the host cell now. If so, it
  /// counts as sent at `now`.
  bool IsDue(const Delegation& delegation, int host_cell, Millis now);
  /// The host has answered the job's last delegation.
  void OnAnswered(const std::string& job, int host_cell);
  /// Nothing of the job is delegated any more.
  void Forget(const std::string& job);

 private:
  struct Sent {
    Millis at;
    std::size_t tasks = 0;
    std::size_t recalls = 0;
    std::size_t settlements = 0;
    bool answered = false;
  };

  const SchedulerSettings& settings_;
  std::map<std::pair<std::string, int>, Sent> sent_;  ///< By job and host cell.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SENT_DELEGATIONS_H_
