#include "cell/topic_watcher.h"

#include <exception>
#include <utility>

#include "base/logging.h"
#include "net/spawn.h"

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

void TopicWatcher::Start(net::asio::io_context& context) {
  const auto self = shared_from_this();
  net::Spawn(context, Run(self), "topic_watcher", [self, &context] {
    self->restarted_ = true;
    self->Start(context);
  });
}

void TopicWatcher::ApplyRecord(const KeyedRecord& record) {
  if (record.value.empty()) {
    keys_.erase(record.key);
  } else {
    keys_.insert(record.key);
  }
  try {
    on_record_(record);
  } catch (const std::exception& error) {
    // It would fail again and again.
    kLog.Error("event=record_skipped topic=" + partition_.topic +
               " key=" + record.key + " error=\"" + error.what() + "\"");
  }
}

net::asio::awaitable<bool> TopicWatcher::ReadSnapshot() {
  Report(ReadEvent::kSent);
  const Result<NewestRecords> newest = co_await store_.ReadNewest(partition_);
  if (stopped_) co_return false;
  if (!IsOk(newest)) {
    Report(ReadEvent::kFailed);
    co_return false;
  }
  std::set<std::string> deleted = keys_;
  for (const KeyedRecord& record : ValueOf(newest).records) {
    deleted.erase(record.key);
    ApplyRecord(record);
  }
  next_offset_ = ValueOf(newest).end;
  for (const std::string& key : deleted) ApplyRecord({key, {}, next_offset_});
  Report(ReadEvent::kReachedEnd);
  on_read_(next_offset_);
  co_return true;
}

net::asio::awaitable<void> TopicWatcher::Run(
    [[maybe_unused]] std::shared_ptr<TopicWatcher> self) {
  while (!stopped_) {
    if (restarted_) co_await net::Sleep(settings_.retry_interval);
    restarted_ = false;
    if (next_offset_ < 0) {
      if (!co_await ReadSnapshot())
        co_await net::Sleep(settings_.retry_interval);
      continue;
    }
    Report(ReadEvent::kSent);
    const Result<RecordSlice> read =
        co_await store_.ReadFrom(partition_, next_offset_, settings_.max_wait);
    if (stopped_) co_return;
    if (!IsOk(read)) {
      if (!failing_)
        kLog.Warning(
            "event=store_unreachable reason=\"topic not readable; retrying\" "
            "topic=" +
            partition_.topic + " error=\"" + ErrorOf(read).ToString() + "\"");
      failing_ = true;
      Report(ReadEvent::kFailed);
      co_await net::Sleep(settings_.retry_interval);
      continue;
    }
    if (failing_) kLog.Info("event=store_reachable topic=" + partition_.topic);
    failing_ = false;
    if (ValueOf(read).expired) {
      next_offset_ = -1;
      continue;
    }
    for (const KeyedRecord& record : ValueOf(read).records) ApplyRecord(record);
    next_offset_ = ValueOf(read).next;
    const bool behind = next_offset_ < ValueOf(read).end;
    if (!behind) Report(ReadEvent::kReachedEnd);
    on_read_(next_offset_);
    if (!behind && settings_.read_pause > Millis(0))
      co_await net::Sleep(settings_.read_pause);
  }
}

}  // namespace basilspur::cell
