#ifndef BASILSPUR_ENTRY_SNAPSHOTTER_H_
#define BASILSPUR_ENTRY_SNAPSHOTTER_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "base/clock.h"
#include "entry/presence.h"
#include "infra/log_service.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// When a snapshot is due.
struct SnapshotSchedule {
  std::int64_t records = 0;  ///< After so many log entries since the last.
  Millis interval;           ///< After so long, on the wall clock.
};

/// Writes snapshots of the state to the log, on a thread of its own. One of
/// the entries that are up does so.
///
/// Thread safety: any thread.
class Snapshotter {
 public:
  /// Precondition: all references outlive the object.
  Snapshotter(records::EntryRef self, std::string cell,
              std::unique_ptr<infra::LogService> log,
              const SnapshotSchedule& schedule, const replica::Replica& replica,
              replica::LogWriter& writer, const Presence& presence,
              const Clock& clock);
  ~Snapshotter();

  Snapshotter(const Snapshotter&) = delete;
  Snapshotter& operator=(const Snapshotter&) = delete;

  void Start();
  void Stop();

 private:
  void Run();
  bool IsDue() const;
  void Write();

  const records::EntryRef self_;
  const std::string cell_;
  std::unique_ptr<infra::LogService> log_;
  const SnapshotSchedule schedule_;
  const replica::Replica& replica_;
  replica::LogWriter& writer_;
  const Presence& presence_;
  const Clock& clock_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_SNAPSHOTTER_H_
