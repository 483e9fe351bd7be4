#ifndef BASILSPUR_TESTS_FAKES_FAKE_LOG_H_
#define BASILSPUR_TESTS_FAKES_FAKE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "infra/log_service.h"

namespace basilspur::fakes {

/// What the fake log does to calls.
struct LogFaults {
  bool down = false;           ///< Calls fail and have no effect.
  bool lose_answers = false;   ///< Appends take effect and then fail.
  std::int64_t retention = 0;  ///< Entries kept by stream; 0: all.
};

/// The log's entries in memory. Thread safety: any thread.
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

/// A client of a FakeLogStore in the same process.
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
