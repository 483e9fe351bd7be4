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
#include "state/verdict.h"

namespace basilspur::replica {

/// Appends this entry's records, many to one append and one append in flight.
/// An append whose answer is lost is sent again until replay shows its
/// records; replay ignores the repeats.
///
/// Thread safety: any thread.
class LogWriter {
 public:
  /// Called once with the verdict, on the replica's thread.
  using Done = std::function<void(const state::Verdict&)>;

  /// Precondition: `clock` outlives the writer.
  LogWriter(std::unique_ptr<infra::LogService> log, std::string cell,
            records::EntryRef self, const Clock& clock);
  ~LogWriter();

  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a record. kOverloaded: the queue is full. kUnavailable: the log is
  /// down, so nothing was queued. `actor` is empty unless an operator asked.
  Status Submit(records::RecordBody body, std::string actor, Done done);

  /// To be called with each judged record of the stream.
  void OnVerdict(const records::Record& record, const state::Verdict& verdict);

  void Start();
  /// Ends the thread. Records whose verdict is not known stay undecided.
  void Stop();

  /// True if the last append failed.
  bool LogIsDown() const { return log_is_down_.load(); }
  /// Appends sent so far, repeats included.
  std::int64_t AppendCount() const { return append_count_.load(); }
  /// Records queued or in flight.
  std::size_t PendingCount() const;

 private:
  struct Pending {
    records::Record record;
    Done done;
  };

  void Run();
  std::vector<records::Record> NextBatch();
  void AppendUntilJudged(const std::vector<records::Record>& batch);
  bool WaitUntilJudged(std::int64_t sequence, Millis wait);
  void PaceAppends();

  std::unique_ptr<infra::LogService> log_;
  const std::string cell_;
  const records::EntryRef self_;
  const Clock& clock_;
  BoundedRing<Pending> queue_;

  mutable std::mutex mutex_;
  std::condition_variable judged_;
  std::map<std::int64_t, Done> in_flight_;
  std::int64_t last_sequence_ = 0;
  std::int64_t judged_sequence_ = 0;

  Millis last_append_;
  std::atomic<std::int64_t> append_count_{0};
  std::atomic<bool> log_is_down_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::replica

#endif  // BASILSPUR_REPLICA_LOG_WRITER_H_
