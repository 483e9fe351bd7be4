#ifndef BASILSPUR_JOBS_RUN_EVENTS_H_
#define BASILSPUR_JOBS_RUN_EVENTS_H_

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

#include "jobs/run_event.h"

namespace basilspur::jobs {

/// Collects the events of a scheduler's runs until they are logged, by kind.
/// Keeps the first ones of a kind and counts the others.
///
/// Thread safety: one thread at a time.
class RunEvents {
 public:
  /// The events of one kind, in the order in which they were added.
  struct Batch {
    std::vector<RunEvent> events;
    std::size_t left_out = 0;
  };
  using Batches = std::array<Batch, kRunEventKinds>;

  void Add(RunEvent event) {
    Batch& batch = batches_[static_cast<std::size_t>(event.kind)];
    if (batch.events.size() < kMaxEvents) {
      batch.events.push_back(std::move(event));
    } else {
      ++batch.left_out;
    }
  }

  /// Returns the events since the last call, indexed by kind.
  Batches Take() { return std::exchange(batches_, {}); }

 private:
  static constexpr std::size_t kMaxEvents = 200;  ///< Of a kind.

  Batches batches_;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_RUN_EVENTS_H_
