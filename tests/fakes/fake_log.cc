#include "fakes/fake_log.h"

#include <algorithm>
#include <utility>

namespace basilspur::fakes {

static constexpr std::size_t kMaxSliceBytes = 4U << 20;

std::int64_t FakeLogStore::Append(const std::string& stream,
                                  records::Bytes payload) {
  const std::lock_guard lock(mutex_);
  Stream& destination = streams_[stream];
  destination.entries.push_back(std::move(payload));
  const std::int64_t offset =
      destination.first_offset +
      static_cast<std::int64_t>(destination.entries.size()) - 1;
  while (faults_.max_entries_per_stream > 0 &&
         static_cast<std::int64_t>(destination.entries.size()) >
             faults_.max_entries_per_stream) {
    destination.entries.pop_front();
    ++destination.first_offset;
  }
  return offset;
}

infra::LogSlice FakeLogStore::Read(const std::string& stream,
                                   std::int64_t from) const {
  const std::lock_guard lock(mutex_);
  infra::LogSlice slice;
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return slice;
  const Stream& source = found->second;
  slice.first_offset = source.first_offset;
  slice.end_offset =
      source.first_offset + static_cast<std::int64_t>(source.entries.size());
  std::size_t bytes = 0;
  for (std::int64_t offset = std::max(from, slice.first_offset);
       offset < slice.end_offset && bytes < kMaxSliceBytes; ++offset) {
    const auto index = static_cast<std::size_t>(offset - source.first_offset);
    slice.entries.push_back({offset, source.entries[index]});
    bytes += source.entries[index].size();
  }
  return slice;
}

LogFaults FakeLogStore::Faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void FakeLogStore::SetFaults(const LogFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

Result<std::int64_t> FakeLog::Append(std::string_view stream,
                                     std::span<const std::uint8_t> payload) {
  const LogFaults faults = store_.Faults();
  if (faults.down) {
    return Error{ErrorCode::kUnavailable, "append", "fake-log",
                 "the log is down"};
  }
  const std::int64_t offset = store_.Append(
      std::string(stream), records::Bytes(payload.begin(), payload.end()));
  if (faults.lose_responses) {
    return Error{ErrorCode::kTimeout, "append", "fake-log",
                 "the response was lost"};
  }
  return offset;
}

Result<infra::LogSlice> FakeLog::Read(std::string_view stream,
                                      std::int64_t from, Millis) {
  if (store_.Faults().down) {
    return Error{ErrorCode::kUnavailable, "read", "fake-log",
                 "the log is down"};
  }
  return store_.Read(std::string(stream), from);
}

}  // namespace basilspur::fakes
