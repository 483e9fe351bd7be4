#ifndef BASILSPUR_ENTRY_STEWARD_H_
#define BASILSPUR_ENTRY_STEWARD_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.h"
#include "entry/presence.h"
#include "metrics/registry.h"
#include "placement/planner.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// Claims VMs and places jobs, on a thread of its own.
///
/// Thread safety: any thread.
class Steward {
 public:
  /// Precondition: all references outlive the object.
  Steward(records::EntryRef self, const replica::Replica& replica,
          replica::LogWriter& writer, const Presence& presence,
          std::unique_ptr<placement::VmScorer> scorer,
          metrics::Registry& metrics, const Clock& clock);
  ~Steward();

  Steward(const Steward&) = delete;
  Steward& operator=(const Steward&) = delete;

  void Start();
  void Stop();

 private:
  void Run();
  void Step();
  void Claim();
  void SubmitClaim(records::RecordBody body, const std::string& vm);
  void Place();
  void Submit(records::RecordBody body, const std::string& job);

  const records::EntryRef self_;
  const replica::Replica& replica_;
  replica::LogWriter& writer_;
  const Presence& presence_;
  const Clock& clock_;
  metrics::ScalarMetric& placements_;
  metrics::ScalarMetric& void_placements_;
  metrics::ScalarMetric& evictions_;
  std::set<std::string> up_;
  Millis claimed_at_;
  Millis placed_at_;
  std::int64_t placed_offset_ = -1;
  std::mutex mutex_;  // Guards planner_ and claiming_.
  placement::Planner planner_;
  std::set<std::string> claiming_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_STEWARD_H_
