#ifndef BASILSPUR_TESTS_FAKES_FAKE_LOG_H_
#define BASILSPUR_TESTS_FAKES_FAKE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "infra/log_service.h"

namespace basilspur::fakes {

/// Faults that the fake log injects into calls.
struct LogFaults {
  /// All calls fail without effect.
  bool down = false;
  /// Appends store their entry and then fail, as if the response was lost.
  bool lose_responses = false;
  /// The number of newest entries that each stream retains; 0 retains all.
  std::int64_t max_entries_per_stream = 0;
};

/// The in-memory storage of the fake log.
///
/// Thread safety: all methods may be called from any thread.
class FakeLogStore {
 public:
  std::int64_t Append(const std::string& stream, records::Bytes payload);
  infra::LogSlice Read(const std::string& stream, std::int64_t from) const;

  LogFaults Faults() const;
  void SetFaults(const LogFaults& faults);

 private:
  struct Stream {
    std::int64_t first_offset = 0;
    std::deque<records::Bytes> entries;
  };

  mutable std::mutex mutex_;
  LogFaults faults_;
  std::map<std::string, Stream> streams_;
};

/// A log client that calls a FakeLogStore in the same process and never waits
/// for entries.
class FakeLog final : public infra::LogService {
 public:
  /// Precondition: `store` outlives the log.
  explicit FakeLog(FakeLogStore& store) : store_(store) {}

  Result<std::int64_t> Append(std::string_view stream,
                              std::span<const std::uint8_t> payload) override;
  Result<infra::LogSlice> Read(std::string_view stream, std::int64_t from,
                               Millis wait) override;

 private:
  FakeLogStore& store_;
};

}  // namespace basilspur::fakes

#endif  // BASILSPUR_TESTS_FAKES_FAKE_LOG_H_
