#include "replica/replica.h"

#include <utility>

#include "base/logging.h"
#include "records/codec.h"
#include "replica/snapshot.h"

namespace basilspur::replica {

static constexpr LogCategory kLog("replica");
static constexpr Millis kReadMaxWait(500);
static constexpr Millis kRetryInterval(200);

Replica::Replica(std::unique_ptr<infra::LogService> log, std::string cell,
                 const Clock& clock)
    : log_(std::move(log)), cell_(std::move(cell)), clock_(clock) {}

Replica::~Replica() { Stop(); }

void Replica::OnRecordApplied(RecordListener listener) {
  record_listeners_.push_back(std::move(listener));
}

void Replica::OnChange(ChangeListener listener) {
  change_listeners_.push_back(std::move(listener));
}

Status Replica::Load() {
  Status loaded = LoadSnapshot(/*newer_than=*/-1);
  if (!IsOk(loaded)) return loaded;
  do {
    Status polled = Poll({});
    if (!IsOk(polled)) return polled;
  } while (Lag() > 0);
  return {};
}

Result<std::int64_t> Replica::ReadSnapshots(SnapshotAssembler& assembler) {
  std::int64_t next = 0;
  for (;;) {
    const Result<infra::LogSlice> read =
        log_->Read(SnapshotStream(cell_), next, {});
    if (!IsOk(read)) return ErrorOf(read);
    const infra::LogSlice& slice = ValueOf(read);
    for (const auto& entry : slice.entries) {
      const auto chunk = records::Decode<records::SnapshotChunk>(entry.payload);
      if (IsOk(chunk)) assembler.Add(ValueOf(chunk));
      next = entry.offset + 1;
    }
    if (slice.entries.empty() || next >= slice.end_offset) return next;
  }
}

Status Replica::LoadSnapshot(std::int64_t newer_than) {
  SnapshotAssembler assembler;
  const Result<std::int64_t> read = ReadSnapshots(assembler);
  if (!IsOk(read)) return ErrorOf(read);
  if (assembler.CompleteOffset().value_or(-1) <= newer_than) return {};
  Result<state::ClusterState> loaded = assembler.Load();
  if (!IsOk(loaded)) return ErrorOf(loaded);
  const std::unique_lock lock(mutex_);
  state_ = std::move(ValueOf(loaded));
  return {};
}

Status Replica::Poll(Millis max_wait) {
  const Millis began = clock_.Monotonic();
  const std::int64_t next = Read([](const auto& s) { return s.Offset(); }) + 1;
  Result<infra::LogSlice> read = log_->Read(cell_, next, max_wait);
  if (!IsOk(read)) return ErrorOf(read);
  const infra::LogSlice& slice = ValueOf(read);
  if (slice.end_offset < next) {
    return Error{ErrorCode::kCorrupt, "follow", cell_,
                 "the log ends before the offset that was already applied"};
  }
  if (slice.first_offset > next) {
    const Status loaded = LoadSnapshot(/*newer_than=*/next - 1);
    if (!IsOk(loaded)) return loaded;
    if (Read([](const auto& s) { return s.Offset(); }) >= next) return {};
    return Error{ErrorCode::kNotFound, "follow", cell_,
                 "the log no longer keeps the records after the last applied "
                 "offset, and no snapshot includes them"};
  }
  for (const auto& entry : slice.entries) ApplyEntry(entry);
  const std::int64_t end = Read([](const auto& s) { return s.Offset(); }) + 1;
  lag_ = slice.end_offset - end;
  if (lag_ <= 0) fresh_as_of_ = began.count;
  if (!slice.entries.empty()) {
    for (const auto& listener : change_listeners_) listener();
  }
  return {};
}

void Replica::ApplyEntry(const infra::LogEntry& entry) {
  Result<records::RecordBatch> batch =
      records::Decode<records::RecordBatch>(entry.payload);
  if (!IsOk(batch)) {
    kLog.Error("Log entry " + std::to_string(entry.offset) +
               " can't be decoded; every replica skips it.");
    const std::unique_lock lock(mutex_);
    state_.SetOffset(entry.offset);
    return;
  }
  const std::vector<records::Record>& records = ValueOf(batch).records;
  std::vector<state::ApplyResult> results;
  results.reserve(records.size());
  {
    const std::unique_lock lock(mutex_);
    for (const auto& record : records) {
      results.push_back(state_.Apply(record));
    }
    state_.SetOffset(entry.offset);
  }
  for (std::size_t i = 0; i < records.size(); ++i) {
    for (const auto& listener : record_listeners_) {
      listener(records[i], results[i]);
    }
  }
}

void Replica::Start() {
  thread_ = std::thread([this] { Follow(); });
}

void Replica::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void Replica::Follow() {
  while (!stopping_) {
    const Status polled = Poll(kReadMaxWait);
    const bool down = !IsOk(polled);
    if (down != log_is_down_) {
      if (down)
        kLog.Warning(
            "Can't read the log: " + ErrorOf(polled).ToString() +
            "; retrying. The state is not updated until a read succeeds.");
      if (!down)
        kLog.Info("Log can be read again; replay of the stream continues.");
    }
    log_is_down_ = down;
    if (down) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(kRetryInterval.count));
    }
  }
}

}  // namespace basilspur::replica
