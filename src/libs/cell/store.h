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

/// A record of a topic whose newest record of each key is kept for good. An
/// empty value drops the key.
struct KeyedRecord {
  std::string key;
  records::Bytes value;
  std::int64_t offset = 0;
};

/// The newest record of each key, and the offset of the next record.
struct NewestRecords {
  std::vector<KeyedRecord> records;
  std::int64_t end = 0;
};

/// Records in order. `expired`: the first of them are gone, read the newest.
struct RecordSlice {
  std::vector<KeyedRecord> records;
  std::int64_t next = 0;  ///< Where to read on.
  std::int64_t end = 0;   ///< Of the partition; `next` may be before it.
  bool expired = false;
};

enum class AppendVerdict {
  kAppended,
  kConflict,       ///< The condition did not hold.
  kFenced,         ///< A later epoch has begun.
  kWrongSequence,  ///< Not the next of its producer; see `expected`.
  kRefused,        ///< Nothing was done, for a passing reason.
  kUnknown,        ///< No answer; it may be done, even later.
};

struct AppendAnswer {
  AppendVerdict verdict = AppendVerdict::kUnknown;
  std::int64_t offset = 0;    ///< kAppended: of the first record.
  std::int64_t end = 0;       ///< kAppended, kConflict: of the partition.
  std::int64_t expected = 0;  ///< kWrongSequence.
  std::string reason;         ///< For logs.
};

/// One writer of a partition. Appends of earlier epochs are refused.
struct Producer {
  std::string name;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

/// A place in the store.
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

  /// Appends if the partition ends at offset `at`.
  virtual net::asio::awaitable<AppendAnswer> AppendAt(
      Partition partition, std::int64_t at,
      std::vector<KeyedRecord> records) = 0;

  /// Appends as `producer`. A repeat of the last call is done once. Without
  /// records it only begins the epoch.
  virtual net::asio::awaitable<AppendAnswer> AppendAs(
      Partition partition, Producer producer,
      std::vector<KeyedRecord> records) = 0;

  /// All pages. Errors: kUnavailable, kTimeout, kCorrupt.
  virtual net::asio::awaitable<Result<NewestRecords>> ReadNewest(
      Partition partition) = 0;

  /// Records from offset `from` on; waits up to `wait` ms for the first.
  virtual net::asio::awaitable<Result<RecordSlice>> ReadFrom(
      Partition partition, std::int64_t from, Millis wait) = 0;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_STORE_H_
