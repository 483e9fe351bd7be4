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

/// A copy of the cell's state, kept current by replay of its stream.
///
/// Thread safety: any thread, except where noted.
class Replica {
 public:
  using VerdictListener =
      std::function<void(const records::Record&, const state::Verdict&)>;
  using ChangeListener = std::function<void()>;

  /// Precondition: `clock` outlives the replica.
  Replica(std::unique_ptr<infra::LogService> log, std::string cell,
          const Clock& clock);
  ~Replica();

  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Adds a listener that is called on the replica's thread after each
  /// judged record. Precondition: before Start().
  void OnVerdict(VerdictListener listener);

  /// Adds a listener that is called on the replica's thread after records
  /// were taken in. Precondition: before Start().
  void OnChange(ChangeListener listener);

  /// Reads the newest snapshot and all records since. Blocks.
  /// Precondition: before Start(). Errors: the log's, and kNotFound if the
  /// log no longer keeps all that is needed.
  Status Load();

  /// Reads and takes in what the log has now, waiting up to `wait` ms for the
  /// first record. Precondition: not together with Start().
  Status Poll(Millis wait);

  /// Follows the stream on a thread of its own until Stop().
  void Start();
  void Stop();

  /// Calls `reader(state)` while no record is being taken in.
  template <class Reader>
  auto Read(Reader reader) const {
    const std::shared_lock lock(mutex_);
    return reader(static_cast<const state::ClusterState&>(state_));
  }

  /// When the last read of the stream's end began that succeeded, on the
  /// monotonic clock: the state is at least as new as the log was then.
  Millis FreshAsOf() const { return Millis(fresh_as_of_.load()); }

  /// Records behind the log's end at the last read.
  std::int64_t Lag() const { return lag_.load(); }

  /// True if the last read failed.
  bool LogIsDown() const { return log_is_down_.load(); }

 private:
  Status LoadSnapshot(std::int64_t newer_than);
  Result<std::int64_t> ReadSnapshots(class SnapshotAssembler& assembler);
  void TakeIn(const infra::LogEntry& entry);
  void Follow();

  std::unique_ptr<infra::LogService> log_;
  const std::string cell_;
  const Clock& clock_;
  std::vector<VerdictListener> verdict_listeners_;
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
