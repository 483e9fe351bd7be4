#include "routing/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace basilspur::routing {

void AdmissionQueue::Push(Request request) {
  const int urgency = std::clamp(request.urgency, 0, kMaxUrgency);
  queues_by_urgency_[static_cast<std::size_t>(urgency)].push_back(
      std::move(request));
  ++size_;
}

std::optional<Request> AdmissionQueue::Pop() {
  for (auto& queue : queues_by_urgency_) {
    if (queue.empty()) continue;
    Request request = std::move(queue.front());
    queue.pop_front();
    --size_;
    return request;
  }
  return std::nullopt;
}

std::optional<Request> AdmissionQueue::PopLessUrgentThan(int urgency) {
  for (int i = kMaxUrgency; i > urgency; --i) {
    auto& queue = queues_by_urgency_[static_cast<std::size_t>(i)];
    if (queue.empty()) continue;
    Request request = std::move(queue.back());
    queue.pop_back();
    --size_;
    return request;
  }
  return std::nullopt;
}

std::vector<Request> AdmissionQueue::PopExpired(Millis cutoff) {
  std::vector<Request> expired;
  for (auto& queue : queues_by_urgency_) {
    const auto first_expired = std::stable_partition(
        queue.begin(), queue.end(),
        [&](const Request& request) { return request.deadline >= cutoff; });
    std::move(first_expired, queue.end(), std::back_inserter(expired));
    queue.erase(first_expired, queue.end());
  }
  size_ -= expired.size();
  return expired;
}

std::size_t AdmissionQueue::SizeAhead(int urgency) const {
  std::size_t ahead = 0;
  for (int i = 0; i <= std::clamp(urgency, 0, kMaxUrgency); ++i) {
    ahead += queues_by_urgency_[static_cast<std::size_t>(i)].size();
  }
  return ahead;
}

}  // namespace basilspur::routing
