#ifndef TESTS_AUTO_CELL_FAKE_STORE_H_
#define TESTS_AUTO_CELL_FAKE_STORE_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cell/signal.h"
#include "cell/store.h"

namespace basilspur::cell {

/// A store in memory that answers at once, unless a test intercepts a call.
///
/// Thread safety: only from the thread of its io_context.
class FakeStore final : public Store {
 public:
  explicit FakeStore(net::asio::io_context& context) : appended_(context) {}

  net::asio::awaitable<AppendAnswer> AppendAt(
      Partition partition, std::int64_t expected_end,
      std::vector<KeyedRecord> records) override;
  net::asio::awaitable<AppendAnswer> AppendAs(
      Partition partition, Producer producer,
      std::vector<KeyedRecord> records) override;
  net::asio::awaitable<Result<NewestRecords>> ReadNewest(
      Partition partition) override;
  net::asio::awaitable<Result<RecordSlice>> ReadFrom(Partition partition,
                                                     std::int64_t from,
                                                     Millis max_wait) override;

  /// Appends on the condition, without an interception, and wakes readers.
  AppendAnswer Append(const Partition& partition, std::int64_t expected_end,
                      const std::vector<KeyedRecord>& records);
  std::vector<KeyedRecord>& Records(const Partition& partition) {
    return partitions_[{partition.topic, partition.number}];
  }

  /// Replaces the store's answer to AppendAt. It may call Append itself, before
  /// or after it returns.
  std::function<AppendAnswer(const Partition& partition,
                             std::int64_t expected_end,
                             const std::vector<KeyedRecord>& records)>
      on_append_at;
  /// Until this is unset, AppendAt carries calls out but does not answer.
  bool append_answers_held = false;
  /// Called before AppendAs is carried out.
  std::function<void()> on_append_as;
  /// Time between carrying out AppendAs and its answer.
  Millis producer_append_time{0};
  /// AppendAs refuses longer records, as the platform's store does.
  std::size_t max_record_bytes = 262'144;
  /// Until this is unset, ReadFrom does not answer.
  bool watchers_cut = false;
  /// Offset below which ReadFrom has lost its history.
  std::int64_t first_offset = 0;
  /// ReadNewest fails.
  bool newest_unreadable = false;
  /// ReadNewest fails for this topic.
  std::string unreadable_topic;
  /// ReadNewest finds no records of this topic.
  std::string empty_topic;
  /// Number of calls to ReadNewest, by topic.
  std::map<std::string, int> newest_reads;
  /// Number of calls to AppendAt.
  int conditional_appends = 0;

 private:
  std::map<std::pair<std::string, int>, std::vector<KeyedRecord>> partitions_;
  std::map<std::pair<std::string, int>, std::int64_t> epochs_;
  Signal appended_;
};

}  // namespace basilspur::cell

#endif  // TESTS_AUTO_CELL_FAKE_STORE_H_
