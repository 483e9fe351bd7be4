#include "replica/log_writer.h"

#include <optional>
#include <utility>

#include "base/logging.h"
#include "records/codec.h"

namespace basilspur::replica {

static constexpr LogCategory kLog("log-writer");
static constexpr std::size_t kQueueCapacity = 20'000;
static constexpr std::size_t kMaxBatchRecords = 2'000;
static constexpr Millis kQueueMaxWait(200);
/// Limits a cell of nine entries to 360 appends per second in total.
static constexpr Millis kMinAppendInterval(25);
static constexpr Millis kApplyTimeout(1'000);
static constexpr Millis kRetryInterval(200);

LogWriter::LogWriter(std::unique_ptr<infra::LogService> log, std::string cell,
                     records::EntryRef self, const Clock& clock)
    : log_(std::move(log)),
      cell_(std::move(cell)),
      self_(std::move(self)),
      clock_(clock),
      queue_(kQueueCapacity) {}

LogWriter::~LogWriter() { Stop(); }

Status LogWriter::Submit(records::RecordBody body, std::string actor,
                         Done done) {
  if (log_is_down_) {
    return Error{ErrorCode::kUnavailable, "append", cell_,
                 "the log is unavailable since the last append failed; nothing "
                 "was changed"};
  }
  PendingRecord pending;
  pending.record.cell = cell_;
  pending.record.writer = self_;
  pending.record.wall_ms = clock_.Wall().count;
  pending.record.actor = std::move(actor);
  pending.record.body = std::move(body);
  pending.done = std::move(done);
  if (queue_.TryPush(std::move(pending))) return {};
  return Error{ErrorCode::kOverloaded, "append", cell_,
               "queue of records to append is full; nothing was changed"};
}

void LogWriter::OnRecordApplied(const records::Record& record,
                                const state::ApplyResult& result) {
  if (record.writer != self_) return;
  Done done;
  {
    const std::lock_guard lock(mutex_);
    if (record.sequence > applied_sequence_)
      applied_sequence_ = record.sequence;
    const auto found = in_flight_.find(record.sequence);
    if (found == in_flight_.end()) return;
    done = std::move(found->second);
    in_flight_.erase(found);
  }
  applied_.notify_all();
  if (done) done(result);
}

std::size_t LogWriter::PendingCount() const {
  const std::lock_guard lock(mutex_);
  return in_flight_.size() + queue_.Size();
}

void LogWriter::Start() {
  thread_ = std::thread([this] { Run(); });
}

void LogWriter::Stop() {
  stopping_ = true;
  queue_.Close();
  applied_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void LogWriter::Run() {
  while (!stopping_) {
    const std::vector<records::Record> batch = NextBatch();
    if (!batch.empty()) AppendUntilApplied(batch);
  }
}

std::vector<records::Record> LogWriter::NextBatch() {
  std::vector<records::Record> batch;
  std::optional<PendingRecord> pending = queue_.Pop(kQueueMaxWait);
  if (pending) LimitAppendRate();
  const std::lock_guard lock(mutex_);
  while (pending) {
    pending->record.sequence = ++last_sequence_;
    in_flight_[last_sequence_] = std::move(pending->done);
    batch.push_back(std::move(pending->record));
    if (batch.size() == kMaxBatchRecords) break;
    pending = queue_.Pop({});
  }
  return batch;
}

void LogWriter::LimitAppendRate() {
  const Millis since_last = clock_.Monotonic() - last_append_;
  if (since_last >= kMinAppendInterval) return;
  const Millis pause = kMinAppendInterval - since_last;
  std::this_thread::sleep_for(std::chrono::milliseconds(pause.count));
}

void LogWriter::AppendUntilApplied(const std::vector<records::Record>& batch) {
  const records::Bytes payload = records::Encode(records::RecordBatch{batch});
  const std::int64_t last = batch.back().sequence;
  bool appended = false;
  while (!stopping_) {
    if (!appended) {
      last_append_ = clock_.Monotonic();
      ++append_count_;
      const Result<std::int64_t> appended_offset = log_->Append(cell_, payload);
      appended = IsOk(appended_offset);
      if (!appended)
        kLog.Warning(ErrorOf(appended_offset).ToString() +
                     "; retrying the append until its records are applied.");
      log_is_down_ = !appended;
    }
    // Waits after an error, too, because the append may have taken effect.
    if (WaitUntilApplied(last, appended ? kApplyTimeout : kRetryInterval)) {
      log_is_down_ = false;
      return;
    }
  }
}

bool LogWriter::WaitUntilApplied(std::int64_t sequence, Millis max_wait) {
  std::unique_lock lock(mutex_);
  return applied_.wait_for(
      lock, std::chrono::milliseconds(max_wait.count),
      [&] { return applied_sequence_ >= sequence || stopping_.load(); });
}

}  // namespace basilspur::replica
