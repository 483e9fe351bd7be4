#include <map>
#include <utility>

#include "base/logging.h"
#include "cell/cell_owner.h"
#include "cell/run_fields.h"
#include "jobs/progress_parts.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
static constexpr Millis kAppendRetryInterval(60);
static constexpr Millis kJournalReadRetryInterval(150);

static void LogUnreadable(const KeyedRecord& record, const Error& error) {
  kLog.Error("event=journal_record_skipped key=" + record.key + " error=\"" +
             error.ToString() + "\"");
}

net::asio::awaitable<bool> CellOwner::BeginEpoch() {
  while (!stopped_) {
    const Producer producer{"owner", ownership_.token, 0};
    const AppendAnswer answer = co_await store_.AppendAs(
        journal_, producer, std::vector<KeyedRecord>());
    if (answer.outcome == AppendOutcome::kAppended) co_return true;
    if (answer.outcome == AppendOutcome::kFenced) {
      HandleFenced();
      co_return false;
    }
    kLog.Warning("event=epoch_append_retry" + LogFields() + " reason=\"" +
                 answer.reason + "\"");
    co_await net::Sleep(kAppendRetryInterval);
  }
  co_return false;
}

void CellOwner::RestoreMovedJob(const KeyedRecord& record) {
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
      co_await net::Sleep(kJournalReadRetryInterval);
      continue;
    }
    const Millis began = Now();
    std::map<std::string, std::optional<jobs::ProgressRecord>> progress;
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (record.key.starts_with('v')) RestoreVm(record);
      if (record.key.starts_with('m')) RestoreMovedJob(record);
      if (!record.key.starts_with('p')) continue;
      auto decoded = records::Decode<jobs::ProgressRecord>(record.value);
      if (!IsOk(decoded)) {
        LogUnreadable(record, ErrorOf(decoded));
        continue;
      }
      jobs::MergeProgress(ValueOf(decoded),
                          progress[jobs::JobOfProgressKey(record.key)]);
    }
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (!record.key.starts_with('j')) continue;
      const auto decoded = records::Decode<jobs::JobRecord>(record.value);
      if (!IsOk(decoded)) {
        LogUnreadable(record, ErrorOf(decoded));
        continue;
      }
      const std::string id = record.key.substr(1);
      scheduler_.Restore(id, ValueOf(decoded), progress[id],
                         clock_.Wall().count, Now());
    }
    EndTurn(OwnerTurn::kRestore, began,
            " records=" + std::to_string(ValueOf(read).records.size()));
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

void CellOwner::LogJobEnds(const jobs::JournalBatch& batch) {
  for (const auto& [id, job] : batch.jobs) {
    if (!jobs::IsFinal(job.status) || scheduler_.IsEnded(id)) continue;
    queue_outlook_.OnJobEnded(Now());
    kLog.Info("event=job_ended job=" + id + " state=" + NameOf(job.status) +
              LogFields() + " sequence=" + std::to_string(sequence_) +
              " age_ms=" + std::to_string(scheduler_.AgeOf(id, Now()).count) +
              RunFields(scheduler_.RunsOf(id)));
  }
}

net::asio::awaitable<void> CellOwner::RunJournalWriter() {
  const auto self = shared_from_this();
  while (!stopped_) {
    if (!scheduler_.HasBatch()) {
      writer_idle_ = true;
      co_await batch_pending_.Wait();
      writer_idle_ = false;
      continue;
    }
    const Millis pause = last_append_ + settings_.lazy_flush_interval - Now();
    const bool can_wait = !scheduler_.HasUrgentChanges() && !draining_;
    if (can_wait && pause > Millis(0)) {
      co_await batch_pending_.WaitFor(pause);
      continue;
    }
    const Millis began = Now();
    jobs::JournalBatch batch = scheduler_.TakeBatch(clock_.Wall().count);
    EndTurn(OwnerTurn::kBatch, began,
            " jobs=" + std::to_string(batch.jobs.size()) +
                " records=" + std::to_string(batch.entries.size()));
    LeaveOutLongRecords(batch);
    if (!co_await WriteBatch(batch)) co_return;
    LogJobEnds(batch);
    scheduler_.OnDurable(batch);
    batch_durable_.NotifyAll();
    SchedulePlan();
    SendDueDelegations();
    last_append_ = Now();
    co_await net::Sleep(settings_.journal_flush_interval);
  }
}

void CellOwner::LeaveOutLongRecords(jobs::JournalBatch& batch) const {
  std::erase_if(batch.entries, [&](const jobs::JournalEntry& entry) {
    const std::size_t size = 1 + entry.key.size() + entry.value.size();
    if (size <= settings_.max_record_bytes) return false;
    kLog.Error("event=journal_record_too_long key=" + entry.key +
               " bytes=" + std::to_string(size) +
               " reason=\"the store would refuse all records that are written "
               "with it; left out, the former record stays in force\"" +
               LogFields());
    if (entry.key.starts_with('j')) batch.jobs.erase(entry.key.substr(1));
    const auto job = batch.jobs.find(jobs::JobOfProgressKey(entry.key));
    if (job != batch.jobs.end()) job->second.retired = 0;
    return true;
  });
}

net::asio::awaitable<bool> CellOwner::WriteBatch(
    const jobs::JournalBatch& batch) {
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  for (const jobs::JournalEntry& entry : batch.entries) {
    const std::size_t size = entry.key.size() + entry.value.size();
    if (!records.empty() && bytes + size > settings_.max_append_bytes) {
      if (!co_await AppendToJournal(std::move(records))) co_return false;
      records.clear();
      bytes = 0;
    }
    records.push_back({entry.key, entry.value, 0});
    bytes += size;
  }
  if (records.empty()) co_return true;
  co_return co_await AppendToJournal(std::move(records));
}

net::asio::awaitable<bool> CellOwner::AppendToJournal(
    std::vector<KeyedRecord> records) {
  const Producer producer{"owner", ownership_.token, sequence_};
  append_started_ = Now();
  bool retried = false;
  while (!stopped_) {
    const AppendAnswer answer =
        co_await store_.AppendAs(journal_, producer, records);
    if (answer.outcome == AppendOutcome::kAppended) break;
    if (answer.outcome == AppendOutcome::kFenced) {
      HandleFenced();
      co_return false;
    }
    // An earlier attempt of this append was applied although its answer was
    // lost.
    if (retried && answer.outcome == AppendOutcome::kWrongSequence &&
        answer.expected > sequence_) {
      break;
    }
    kLog.Warning("event=journal_append_retry" + LogFields() +
                 " sequence=" + std::to_string(sequence_) + " reason=\"" +
                 answer.reason + "\"");
    retried = true;
    co_await net::Sleep(kAppendRetryInterval);
  }
  ++sequence_;
  append_started_.reset();
  co_return !stopped_;
}

}  // namespace basilspur::cell
