#ifndef BASILSPUR_ENTRY_SNAPSHOTTER_H_
#define BASILSPUR_ENTRY_SNAPSHOTTER_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "base/clock.h"
#include "entry/membership.h"
#include "infra/log_service.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// The conditions for a new snapshot; either of them suffices.
struct SnapshotSchedule {
  /// Number of log entries after the last snapshot at which the next is due.
  std::int64_t records = 0;
  /// Age of the last snapshot, on the wall clock, at which the next is due.
  Millis interval;
};

/// Writes snapshots of the state to the log, on a thread of its own. Only one
/// of the entries that are up writes them.
///
/// Thread safety: any thread.
class Snapshotter {
 public:
  /// Precondition: all references outlive the object.
  Snapshotter(records::EntryRef self, std::string cell,
              std::unique_ptr<infra::LogService> log,
              const SnapshotSchedule& schedule, const replica::Replica& replica,
              replica::LogWriter& writer, const Membership& membership,
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
  const Membership& membership_;
  const Clock& clock_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_SNAPSHOTTER_H_
