#ifndef BASILSPUR_BASE_BOUNDED_RING_H_
#define BASILSPUR_BASE_BOUNDED_RING_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace basilspur {

/// A queue of fixed capacity that passes elements between threads. A full ring
/// rejects the element, so that back-pressure reaches the producer.
///
/// Thread safety: any number of producers and consumers.
template <class T>
class BoundedRing {
 public:
  /// Precondition: capacity > 0.
  explicit BoundedRing(std::size_t capacity) : slots_(capacity) {}

  /// Returns false and discards the element if the ring is full or closed.
  bool TryPush(T element) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || size_ == slots_.size()) return false;
      slots_[(head_ + size_) % slots_.size()] = std::move(element);
      ++size_;
    }
    not_empty_.notify_one();
    return true;
  }

  /// Waits up to `max_wait` for an element. Returns nothing on time-out, or if
  /// the ring is closed and empty.
  std::optional<T> Pop(Millis max_wait) {
    std::unique_lock lock(mutex_);
    not_empty_.wait_for(lock, std::chrono::milliseconds(max_wait.count),
                        [this] { return size_ > 0 || closed_; });
    if (size_ == 0) return std::nullopt;
    T element = std::move(*slots_[head_]);
    slots_[head_].reset();
    head_ = (head_ + 1) % slots_.size();
    --size_;
    return element;
  }

  /// Rejects further elements and wakes all consumers.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
  }

  std::size_t Size() const {
    const std::lock_guard lock(mutex_);
    return size_;
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::vector<std::optional<T>> slots_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_BOUNDED_RING_H_
