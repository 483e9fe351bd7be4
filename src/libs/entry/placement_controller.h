#ifndef BASILSPUR_ENTRY_PLACEMENT_CONTROLLER_H_
#define BASILSPUR_ENTRY_PLACEMENT_CONTROLLER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.h"
#include "entry/membership.h"
#include "metrics/registry.h"
#include "placement/planner.h"
#include "replica/log_writer.h"
#include "replica/replica.h"

namespace basilspur::entry {

/// Claims VMs and standbys for this entry and decides on placements and
/// evictions, on a thread of its own.
///
/// Thread safety: any thread.
class PlacementController {
 public:
  /// Precondition: all references outlive the object.
  PlacementController(records::EntryRef self, const replica::Replica& replica,
                      replica::LogWriter& writer, const Membership& membership,
                      std::unique_ptr<placement::VmScorer> scorer,
                      metrics::Registry& metrics, const Clock& clock);
  ~PlacementController();

  PlacementController(const PlacementController&) = delete;
  PlacementController& operator=(const PlacementController&) = delete;

  void Start();
  void Stop();

 private:
  void Run();
  void Step();
  void ClaimVms();
  void SubmitClaim(records::RecordBody body, const std::string& vm);
  void PlaceJobs();
  void SubmitDecision(records::RecordBody body, const std::string& job);

  const records::EntryRef self_;
  const replica::Replica& replica_;
  replica::LogWriter& writer_;
  const Membership& membership_;
  const Clock& clock_;
  metrics::ScalarMetric& placements_;
  metrics::ScalarMetric& void_placements_;
  metrics::ScalarMetric& evictions_;
  std::set<std::string> entries_up_;
  Millis last_claim_step_;
  Millis last_placement_step_;
  std::int64_t last_placement_offset_ = -1;
  std::mutex mutex_;  ///< Guards planner_ and pending_claims_.
  placement::Planner planner_;
  std::set<std::string> pending_claims_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_PLACEMENT_CONTROLLER_H_
