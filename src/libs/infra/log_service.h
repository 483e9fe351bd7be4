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

/// A part of a stream. `first_offset` is the oldest that the log still keeps
/// and `end_offset` the next to be given out.
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

  /// Appends one entry and returns its offset. After kTimeout or
  /// kUnavailable the entry may have been appended all the same.
  virtual Result<std::int64_t> Append(
      std::string_view stream, std::span<const std::uint8_t> payload) = 0;

  /// Reads entries from `from` on. Waits up to `wait` ms for the first.
  virtual Result<LogSlice> Read(std::string_view stream, std::int64_t from,
                                Millis wait) = 0;
};

}  // namespace basilspur::infra

#endif  // BASILSPUR_INFRA_LOG_SERVICE_H_
