#include "cell/topic_watcher.h"

#include <utility>

#include "base/logging.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("watch");

TopicWatcher::TopicWatcher(Store& store, Partition partition,
                           WatchSettings settings, OnRecord on_record,
                           OnRead on_read)
    : store_(store),
      partition_(std::move(partition)),
      settings_(settings),
      on_record_(std::move(on_record)),
      on_read_(std::move(on_read)) {}

void TopicWatcher::Take(const KeyedRecord& record) {
  if (record.value.empty()) {
    keys_.erase(record.key);
  } else {
    keys_.insert(record.key);
  }
  on_record_(record);
}

net::asio::awaitable<bool> TopicWatcher::ReadAll() {
  const Result<NewestRecords> newest = co_await store_.ReadNewest(partition_);
  if (!IsOk(newest)) co_return false;
  std::set<std::string> gone = keys_;
  for (const KeyedRecord& record : ValueOf(newest).records) {
    gone.erase(record.key);
    Take(record);
  }
  for (const std::string& key : gone) Take({key, {}, 0});
  next_ = ValueOf(newest).end;
  on_read_(next_);
  co_return true;
}

net::asio::awaitable<void> TopicWatcher::Run() {
  const auto self = shared_from_this();
  bool failing = false;
  while (!stopped_) {
    if (next_ < 0) {
      if (!co_await ReadAll()) co_await net::Sleep(settings_.retry);
      continue;
    }
    const Result<RecordSlice> read =
        co_await store_.ReadFrom(partition_, next_, settings_.wait);
    if (!IsOk(read)) {
      if (!failing)
        kLog.Warning("event=store_lost topic=" + partition_.topic +
                     " error=\"" + ErrorOf(read).ToString() + "\"");
      failing = true;
      co_await net::Sleep(settings_.retry);
      continue;
    }
    if (failing) kLog.Info("event=store_back topic=" + partition_.topic);
    failing = false;
    if (ValueOf(read).expired) {
      next_ = -1;
      continue;
    }
    for (const KeyedRecord& record : ValueOf(read).records) Take(record);
    next_ = ValueOf(read).next;
    on_read_(next_);
    const bool behind = next_ < ValueOf(read).end;
    if (!behind && settings_.pause > Millis(0))
      co_await net::Sleep(settings_.pause);
  }
}

}  // namespace basilspur::cell
