#ifndef BASILSPUR_ROUTING_ADMISSION_QUEUE_H_
#define BASILSPUR_ROUTING_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "routing/request.h"

namespace basilspur::routing {

/// Requests that wait for a slot, in order of urgency; requests of the same
/// urgency are in order of arrival.
///
/// Thread safety: one thread at a time.
class AdmissionQueue {
 public:
  void Push(Request request);

  /// Removes the next request; returns nullopt if the queue is empty.
  std::optional<Request> Pop();

  /// Removes the latest arrival among the least urgent requests, if they are
  /// less urgent than `urgency`.
  std::optional<Request> PopLessUrgentThan(int urgency);

  /// Removes all requests whose deadline is before `cutoff`.
  std::vector<Request> PopExpired(Millis cutoff);

  std::size_t Size() const { return size_; }

  /// Number of queued requests that precede a new request of this urgency.
  std::size_t SizeAhead(int urgency) const;

 private:
  std::array<std::deque<Request>, kMaxUrgency + 1> queues_by_urgency_;
  std::size_t size_ = 0;
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_ADMISSION_QUEUE_H_
