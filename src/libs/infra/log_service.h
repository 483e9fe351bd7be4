#ifndef BASILSPUR_INFRA_LOG_SERVICE_H_
#define BASILSPUR_INFRA_LOG_SERVICE_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "records/codec.h"

namespace basilspur::infra {

/// One entry of a stream of the log.
struct LogEntry {
  std::int64_t offset = 0;
  records::Bytes payload;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.offset, self.payload);
  }
};

/// Consecutive entries of a stream. `first_offset` is the oldest offset that
/// the log still retains, `end_offset` the offset of the next entry to be
/// appended.
struct LogSlice {
  std::int64_t first_offset = 0;
  std::int64_t end_offset = 0;
  std::vector<LogEntry> entries;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.first_offset, self.end_offset, self.entries);
  }
};

/// The platform's append-only log.
///
/// Thread safety: one thread at a time for each object.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Appends one entry and returns its offset. After kTimeout or kUnavailable
  /// the entry may nevertheless have been appended.
  virtual Result<std::int64_t> Append(
      std::string_view stream, std::span<const std::uint8_t> payload) = 0;

  /// Reads entries from offset `from` on. Waits up to `max_wait` for the first.
  virtual Result<LogSlice> Read(std::string_view stream, std::int64_t from,
                                Millis max_wait) = 0;
};

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_LOG_SERVICE_H_
