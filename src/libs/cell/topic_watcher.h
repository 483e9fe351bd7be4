#ifndef BASILSPUR_CELL_TOPIC_WATCHER_H_
#define BASILSPUR_CELL_TOPIC_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "cell/store.h"

namespace basilspur::cell {

/// How a watcher reads on.
struct WatchSettings {
  Millis wait{20'000};  ///< For the first record of a read.
  Millis pause{0};      ///< Between reads; longer: fewer wake-ups, more lag.
  Millis retry{200};    ///< After a failed read.
};

/// Follows the newest record of each key of a partition.
///
/// Thread safety: only from the thread of its io_context.
class TopicWatcher : public std::enable_shared_from_this<TopicWatcher> {
 public:
  /// Called for each new record; without a value, the key is gone.
  using OnRecord = std::function<void(const KeyedRecord& record)>;
  /// Called once after the first whole reading, and after each read.
  using OnRead = std::function<void(std::int64_t end)>;

  /// Precondition: `store` outlives the watcher.
  TopicWatcher(Store& store, Partition partition, WatchSettings settings,
               OnRecord on_record, OnRead on_read);

  /// Runs until Stop.
  net::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }

 private:
  net::asio::awaitable<bool> ReadAll();
  void Take(const KeyedRecord& record);

  Store& store_;
  Partition partition_;
  WatchSettings settings_;
  OnRecord on_record_;
  OnRead on_read_;
  std::int64_t next_ = -1;
  std::set<std::string> keys_;
  bool stopped_ = false;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_TOPIC_WATCHER_H_
