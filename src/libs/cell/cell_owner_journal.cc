#include <map>
#include <utility>

#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
static constexpr Millis kAppendRetry(60);
static constexpr Millis kJournalReadRetry(150);

static void LogUnreadable(const KeyedRecord& record, const Error& error) {
  kLog.Error("event=journal_record_unreadable key=" + record.key + " error=\"" +
             error.ToString() + "\"");
}

net::asio::awaitable<bool> CellOwner::BeginEpoch() {
  while (!stopped_) {
    const Producer producer{"owner", ownership_.token, 0};
    const AppendAnswer answer = co_await store_.AppendAs(
        journal_, producer, std::vector<KeyedRecord>());
    if (answer.verdict == AppendVerdict::kAppended) co_return true;
    if (answer.verdict == AppendVerdict::kFenced) {
      Depose();
      co_return false;
    }
    kLog.Warning("event=epoch_retry" + LogFields() + " reason=\"" +
                 answer.reason + "\"");
    co_await net::Sleep(kAppendRetry);
  }
  co_return false;
}

void CellOwner::RestoreMove(const KeyedRecord& record) {
  const auto decoded = records::Decode<jobs::MoveRecord>(record.value);
  if (IsOk(decoded)) {
    scheduler_.Moved().Restore(record.key.substr(1), ValueOf(decoded).cell,
                               Now());
    return;
  }
  LogUnreadable(record, ErrorOf(decoded));
}

void CellOwner::RestoreVm(const KeyedRecord& record) {
  const auto decoded = records::Decode<jobs::VmRecord>(record.value);
  if (IsOk(decoded)) {
    scheduler_.RestoreVm(record.key.substr(1), ValueOf(decoded), Now());
    return;
  }
  LogUnreadable(record, ErrorOf(decoded));
}

net::asio::awaitable<bool> CellOwner::ReadJournal() {
  for (;;) {
    const Result<NewestRecords> read = co_await store_.ReadNewest(journal_);
    if (stopped_) co_return false;
    if (!IsOk(read)) {
      co_await net::Sleep(kJournalReadRetry);
      continue;
    }
    std::map<std::string, jobs::ProgressRecord> progress;
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (record.key.starts_with('v')) RestoreVm(record);
      if (record.key.starts_with('m')) RestoreMove(record);
      if (!record.key.starts_with('p')) continue;
      auto decoded = records::Decode<jobs::ProgressRecord>(record.value);
      if (!IsOk(decoded)) {
        LogUnreadable(record, ErrorOf(decoded));
        continue;
      }
      progress[record.key.substr(1)] = ValueOf(decoded);
    }
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (!record.key.starts_with('j')) continue;
      const auto decoded = records::Decode<jobs::JobRecord>(record.value);
      if (!IsOk(decoded)) {
        LogUnreadable(record, ErrorOf(decoded));
        continue;
      }
      const std::string id = record.key.substr(1);
      const auto found = progress.find(id);
      scheduler_.Restore(
          id, ValueOf(decoded),
          found == progress.end() ? std::nullopt : std::optional(found->second),
          clock_.Wall().count, Now());
    }
    co_return true;
  }
}

static const char* NameOf(jobs::JobStatus status) {
  switch (status) {
    case jobs::JobStatus::kActive:
      return "active";
    case jobs::JobStatus::kDone:
      return "done";
    case jobs::JobStatus::kFailed:
      return "failed";
    case jobs::JobStatus::kCancelled:
      return "cancelled";
  }
  return "";
}

void CellOwner::LogJobs(const jobs::JournalBatch& batch) const {
  for (const auto& [id, status] : batch.jobs) {
    if (!jobs::IsFinal(status) || scheduler_.IsEnded(id)) continue;
    kLog.Info("event=job_ended job=" + id + " status=" + NameOf(status) +
              LogFields() + " sequence=" + std::to_string(sequence_) +
              " age_ms=" + std::to_string(scheduler_.AgeOf(id, Now()).count));
  }
}

net::asio::awaitable<void> CellOwner::RunJournal() {
  const auto self = shared_from_this();
  while (!stopped_) {
    if (!scheduler_.HasBatch()) {
      co_await dirty_.Wait();
      continue;
    }
    const jobs::JournalBatch batch = scheduler_.TakeBatch(clock_.Wall().count);
    if (!co_await Write(batch)) co_return;
    LogJobs(batch);
    scheduler_.OnDurable(batch);
    flushed_.NotifyAll();
    Wake();
    co_await net::Sleep(settings_.flush_interval);
  }
}

net::asio::awaitable<bool> CellOwner::Write(const jobs::JournalBatch& batch) {
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  for (const jobs::JournalEntry& entry : batch.entries) {
    const std::size_t size = entry.key.size() + entry.value.size();
    if (!records.empty() && bytes + size > settings_.call_bytes) {
      if (!co_await Append(std::move(records))) co_return false;
      records.clear();
      bytes = 0;
    }
    records.push_back({entry.key, entry.value, 0});
    bytes += size;
  }
  if (records.empty()) co_return true;
  co_return co_await Append(std::move(records));
}

net::asio::awaitable<bool> CellOwner::Append(std::vector<KeyedRecord> records) {
  const Producer producer{"owner", ownership_.token, sequence_};
  append_began_ = Now();
  bool retried = false;
  while (!stopped_) {
    const AppendAnswer answer =
        co_await store_.AppendAs(journal_, producer, records);
    if (answer.verdict == AppendVerdict::kAppended) break;
    if (answer.verdict == AppendVerdict::kFenced) {
      Depose();
      co_return false;
    }
    // The first sending was done after all.
    if (retried && answer.verdict == AppendVerdict::kWrongSequence &&
        answer.expected > sequence_) {
      break;
    }
    kLog.Warning("event=append_retry" + LogFields() +
                 " sequence=" + std::to_string(sequence_) + " reason=\"" +
                 answer.reason + "\"");
    retried = true;
    co_await net::Sleep(kAppendRetry);
  }
  ++sequence_;
  append_began_.reset();
  co_return !stopped_;
}

}  // namespace basilspur::cell
