#ifndef BASILSPUR_REPLICA_REPLICA_H_
#define BASILSPUR_REPLICA_REPLICA_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "infra/log_service.h"
#include "records/record.h"
#include "state/cluster_state.h"

namespace basilspur::replica {

/// A copy of the cell's state that is updated by replay of the cell's stream.
///
/// Thread safety: any thread, except where noted.
class Replica {
 public:
  using RecordListener =
      std::function<void(const records::Record&, const state::ApplyResult&)>;
  using ChangeListener = std::function<void()>;

  /// Precondition: `clock` must outlive the replica.
  Replica(std::unique_ptr<infra::LogService> log, std::string cell,
          const Clock& clock);
  ~Replica();

  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Adds a listener that is called on the replica's thread with each record
  /// and the result of applying it. Precondition: before Start().
  void OnRecordApplied(RecordListener listener);

  /// Adds a listener that is called on the replica's thread after each batch of
  /// log entries was applied. Precondition: before Start().
  void OnChange(ChangeListener listener);

  /// Loads the newest snapshot and applies all records after it. Blocks.
  /// Precondition: before Start(). Errors: those of the log, and kNotFound if
  /// the log no longer keeps all records after the snapshot.
  Status Load();

  /// Reads and applies the next records of the log. If there are none, waits up
  /// to `max_wait` for the first one. Precondition: not while the thread of
  /// Start() runs.
  Status Poll(Millis max_wait);

  /// Starts a thread that reads and applies the stream until Stop().
  void Start();
  void Stop();

  /// Calls `reader(state)` while no record is being applied.
  template <class Reader>
  auto Read(Reader reader) const {
    const std::shared_lock lock(mutex_);
    return reader(static_cast<const state::ClusterState&>(state_));
  }

  /// The start time of the last successful read that reached the end of the
  /// stream, on the monotonic clock: the state includes all records that the
  /// log held at that time.
  Millis FreshAsOf() const { return Millis(fresh_as_of_.load()); }

  /// The number of log entries that were not yet applied at the last read.
  std::int64_t Lag() const { return lag_.load(); }

  /// Returns true if the last read failed.
  bool LogIsDown() const { return log_is_down_.load(); }

 private:
  Status LoadSnapshot(std::int64_t newer_than);
  Result<std::int64_t> ReadSnapshots(class SnapshotAssembler& assembler);
  void ApplyEntry(const infra::LogEntry& entry);
  void Follow();

  std::unique_ptr<infra::LogService> log_;
  const std::string cell_;
  const Clock& clock_;
  std::vector<RecordListener> record_listeners_;
  std::vector<ChangeListener> change_listeners_;

  mutable std::shared_mutex mutex_;
  state::ClusterState state_;

  std::atomic<std::int64_t> fresh_as_of_{0};
  std::atomic<std::int64_t> lag_{0};
  std::atomic<bool> log_is_down_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::replica

#endif  // BASILSPUR_REPLICA_REPLICA_H_
