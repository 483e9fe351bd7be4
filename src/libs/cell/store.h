#ifndef BASILSPUR_CELL_STORE_H_
#define BASILSPUR_CELL_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "net/asio.h"
#include "records/codec.h"

namespace basilspur::cell {

/// A record of a topic that keeps the newest record of each key permanently. An
/// empty value deletes the key.
struct KeyedRecord {
  std::string key;
  records::Bytes value;
  std::int64_t offset = 0;
};

/// The newest record of each key, and the offset after the last record.
struct NewestRecords {
  std::vector<KeyedRecord> records;
  std::int64_t end = 0;
};

/// Consecutive records of a partition.
struct RecordSlice {
  std::vector<KeyedRecord> records;
  std::int64_t next = 0;  ///< Offset to continue reading at.
  std::int64_t end = 0;   ///< End of the partition, not before `next`.
  /// The requested records are no longer kept. The reader has to start over
  /// with the newest record of each key.
  bool expired = false;
};

enum class AppendOutcome {
  kAppended,
  kConflict,       ///< The partition did not end at the expected offset.
  kFenced,         ///< A later epoch of the producer has begun.
  kWrongSequence,  ///< Not the producer's next number; see `expected`.
  kRefused,        ///< Not appended, for a temporary reason.
  kUnknown,        ///< No answer; it may be appended now or later.
};

struct AppendAnswer {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  std::int64_t offset = 0;    ///< kAppended: offset of the first record.
  std::int64_t end = 0;       ///< kAppended, kConflict: end of the partition.
  std::int64_t expected = 0;  ///< kWrongSequence: the number that was due.
  std::string reason;         ///< Describes the failure, for logs.
};

/// A writer of a partition. The store refuses its appends of earlier epochs.
struct Producer {
  std::string name;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

/// Names a partition of the store.
struct Partition {
  std::string topic;
  int number = 0;
};

/// The platform's store of keyed logs.
///
/// Thread safety: only from the thread of its io_context.
class Store {
 public:
  virtual ~Store() = default;

  /// Appends if the partition ends at offset `expected_end`.
  virtual net::asio::awaitable<AppendAnswer> AppendAt(
      Partition partition, std::int64_t expected_end,
      std::vector<KeyedRecord> records) = 0;

  /// Appends as `producer`. Repeating the last call does not append again.
  /// Without records, the call only begins the producer's epoch.
  virtual net::asio::awaitable<AppendAnswer> AppendAs(
      Partition partition, Producer producer,
      std::vector<KeyedRecord> records) = 0;

  /// Reads all pages. Errors: kUnavailable, kTimeout, kCorrupt.
  virtual net::asio::awaitable<Result<NewestRecords>> ReadNewest(
      Partition partition) = 0;

  /// Reads records from offset `from` on. Waits up to `max_wait` for the first.
  virtual net::asio::awaitable<Result<RecordSlice>> ReadFrom(
      Partition partition, std::int64_t from, Millis max_wait) = 0;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_STORE_H_
