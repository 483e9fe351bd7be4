#ifndef BASILSPUR_REPLICA_LOG_WRITER_H_
#define BASILSPUR_REPLICA_LOG_WRITER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/result.h"
#include "infra/log_service.h"
#include "records/record.h"
#include "state/apply_result.h"

namespace basilspur::replica {

/// Appends this entry's records to the log, in batches, with at most one append
/// in flight. A failed append may have taken effect, so it is retried until
/// replay of the stream delivers its records. Replay ignores duplicates.
///
/// Thread safety: any thread.
class LogWriter {
 public:
  /// Called once with the result of the record, on the replica's thread.
  using Done = std::function<void(const state::ApplyResult&)>;

  /// Precondition: `clock` must outlive the writer.
  LogWriter(std::unique_ptr<infra::LogService> log, std::string cell,
            records::EntryRef self, const Clock& clock);
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a record. Errors: kOverloaded if the queue is full, kUnavailable if
  /// the last append failed; in both cases nothing is queued. `actor` is empty
  /// unless an operator requested the change.
  Status Submit(records::RecordBody body, std::string actor, Done done);

  /// To be called with each record of the stream and the result of applying it.
  void OnRecordApplied(const records::Record& record,
                       const state::ApplyResult& result);

  void Start();
  /// Stops the thread. The callbacks of records whose result is not known yet
  /// are not called.
  void Stop();

  /// Returns true if the last append failed.
  bool LogIsDown() const { return log_is_down_.load(); }
  /// Number of appends sent so far, including retries.
  std::int64_t AppendCount() const { return append_count_.load(); }
  /// Number of records that are queued or in flight.
  std::size_t PendingCount() const;

 private:
  struct PendingRecord {
    records::Record record;
    Done done;
  };

  void Run();
  std::vector<records::Record> NextBatch();
  void AppendUntilApplied(const std::vector<records::Record>& batch);
  bool WaitUntilApplied(std::int64_t sequence, Millis max_wait);
  void LimitAppendRate();

  std::unique_ptr<infra::LogService> log_;
  const std::string cell_;
  const records::EntryRef self_;
  const Clock& clock_;
  BoundedRing<PendingRecord> queue_;

  mutable std::mutex mutex_;
  std::condition_variable applied_;
  std::map<std::int64_t, Done> in_flight_;
  std::int64_t last_sequence_ = 0;
  std::int64_t applied_sequence_ = 0;

  Millis last_append_;
  std::atomic<std::int64_t> append_count_{0};
  std::atomic<bool> log_is_down_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::replica

#endif  // BASILSPUR_REPLICA_LOG_WRITER_H_
