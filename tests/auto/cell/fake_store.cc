#include "auto/cell/fake_store.h"

namespace basilspur::cell {

AppendAnswer FakeStore::Append(const Partition& partition,
                               std::int64_t expected_end,
                               const std::vector<KeyedRecord>& records) {
  std::vector<KeyedRecord>& log = Records(partition);
  AppendAnswer answer;
  answer.end = static_cast<std::int64_t>(log.size());
  if (answer.end != expected_end) {
    answer.outcome = AppendOutcome::kConflict;
    return answer;
  }
  answer.outcome = AppendOutcome::kAppended;
  answer.offset = answer.end;
  for (const KeyedRecord& record : records) {
    log.push_back(record);
    log.back().offset = answer.end++;
  }
  appended_.NotifyAll();
  return answer;
}

net::asio::awaitable<AppendAnswer> FakeStore::AppendAt(
    Partition partition, std::int64_t expected_end,
    std::vector<KeyedRecord> records) {
  ++conditional_appends;
  const AppendAnswer answer =
      on_append_at ? on_append_at(partition, expected_end, records)
                   : Append(partition, expected_end, records);
  while (append_answers_held) co_await net::Sleep(Millis(1));
  co_return answer;
}

net::asio::awaitable<AppendAnswer> FakeStore::AppendAs(
    Partition partition, Producer producer, std::vector<KeyedRecord> records) {
  if (on_append_as) on_append_as();
  std::int64_t& epoch = epochs_[{partition.topic, partition.number}];
  if (producer.epoch < epoch) {
    AppendAnswer answer;
    answer.outcome = AppendOutcome::kFenced;
    co_return answer;
  }
  epoch = producer.epoch;
  for (const KeyedRecord& record : records) {
    if (1 + record.key.size() + record.value.size() <= max_record_bytes)
      continue;
    AppendAnswer answer;
    answer.outcome = AppendOutcome::kRefused;
    co_return answer;
  }
  const auto end = static_cast<std::int64_t>(Records(partition).size());
  const AppendAnswer answer = Append(partition, end, records);
  if (producer_append_time > Millis(0))
    co_await net::Sleep(producer_append_time);
  co_return answer;
}

net::asio::awaitable<Result<NewestRecords>> FakeStore::ReadNewest(
    Partition partition) {
  ++newest_reads[partition.topic];
  if (newest_unreadable || partition.topic == unreadable_topic) {
    co_return Error{ErrorCode::kUnavailable, "read newest records", "", ""};
  }
  if (partition.topic == empty_topic) co_return NewestRecords();
  std::map<std::string, KeyedRecord> by_key;
  for (const KeyedRecord& record : Records(partition)) {
    by_key[record.key] = record;
  }
  NewestRecords newest;
  for (const auto& [key, record] : by_key) {
    if (!record.value.empty()) newest.records.push_back(record);
  }
  newest.end = static_cast<std::int64_t>(Records(partition).size());
  co_return newest;
}

net::asio::awaitable<Result<RecordSlice>> FakeStore::ReadFrom(
    Partition partition, std::int64_t from, Millis) {
  const std::vector<KeyedRecord>& log = Records(partition);
  while (watchers_cut || from >= static_cast<std::int64_t>(log.size())) {
    co_await appended_.Wait();
  }
  RecordSlice slice;
  slice.expired = from < first_offset;
  if (slice.expired) co_return slice;
  slice.records.assign(log.begin() + from, log.end());
  slice.next = slice.end = static_cast<std::int64_t>(log.size());
  co_return slice;
}

}  // namespace basilspur::cell
