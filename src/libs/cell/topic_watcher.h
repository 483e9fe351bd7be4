#ifndef BASILSPUR_CELL_TOPIC_WATCHER_H_
#define BASILSPUR_CELL_TOPIC_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "base/clock.h"
#include "cell/store.h"

namespace basilspur::cell {

struct WatchSettings {
  /// How long a read waits for a first record.
  Millis max_wait{20'000};
  /// Pause after a read up to the end of the partition. A longer pause means
  /// fewer wake-ups and more lag.
  Millis read_pause{0};
  /// Pause after a failed read.
  Millis retry_interval{200};
};

/// Follows the newest record of each key of a partition.
///
/// Thread safety: only from the thread of its io_context.
class TopicWatcher : public std::enable_shared_from_this<TopicWatcher> {
 public:
  /// Called for each new record. An empty value means that the key was deleted,
  /// at the record's offset or, if history was lost, before it.
  using OnRecord = std::function<void(const KeyedRecord& record)>;
  /// Called after each successful read of all newest records or of a slice,
  /// with the offset to continue at.
  using OnRead = std::function<void(std::int64_t end)>;

  /// What becomes of a read of all newest records or of a slice.
  enum class ReadEvent { kSent, kReachedEnd, kFailed };
  using OnReadEvent = std::function<void(ReadEvent event)>;

  /// Precondition: `store` outlives the watcher.
  TopicWatcher(Store& store, Partition partition, WatchSettings settings,
               OnRecord on_record, OnRead on_read);

  /// Reports what becomes of reads; kReachedEnd after the records of the read
  /// and before OnRead. Call before Start().
  void ObserveReads(OnReadEvent on_event) {
    on_read_event_ = std::move(on_event);
  }
  /// Follows the partition until Stop().
  void Start(net::asio::io_context& context);
  /// No callback is called any more.
  void Stop() { stopped_ = true; }
  /// Whether the last read has failed, or none has been answered yet.
  bool IsFailing() const { return failing_ || next_offset_ < 0; }

 private:
  /// `self` keeps the watcher alive from before the coroutine begins.
  net::asio::awaitable<void> Run(std::shared_ptr<TopicWatcher> self);
  /// Reads the newest record of each key. Returns false on failure.
  net::asio::awaitable<bool> ReadSnapshot();
  void ApplyRecord(const KeyedRecord& record);
  void Report(ReadEvent event) const {
    if (on_read_event_) on_read_event_(event);
  }

  Store& store_;
  Partition partition_;
  WatchSettings settings_;
  OnRecord on_record_;
  OnRead on_read_;
  OnReadEvent on_read_event_;
  std::int64_t next_offset_ = -1;  ///< -1: the newest records are due.
  std::set<std::string> keys_;
  bool stopped_ = false;
  bool failing_ = false;
  bool restarted_ = false;  ///< After an exception.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_TOPIC_WATCHER_H_
