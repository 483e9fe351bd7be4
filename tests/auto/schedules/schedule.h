#ifndef BASILSPUR_TESTS_AUTO_SCHEDULES_SCHEDULE_H_
#define BASILSPUR_TESTS_AUTO_SCHEDULES_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/sim_entry.h"

namespace basilspur::schedules {

/// The kinds of faults that a schedule injects.
struct FaultMix {
  bool pauses = false;               ///< Entries are paused and resumed.
  bool restarts = false;             ///< Entries restart with empty memory.
  bool log_outages = false;          ///< All calls to the log fail for a while.
  bool lost_append_replies = false;  ///< Appends take effect, then fail.
  bool worker_partitions = false;    ///< Entries can't reach some workers.
  bool vm_losses = false;            ///< VMs crash and are replaced.
  bool clock_jumps = false;          ///< The wall clock jumps.
  bool failing_jobs = false;         ///< Some jobs fail.
  /// Jobs use other amounts of processor time and memory than declared.
  bool wrong_resource_requests = false;
};

/// Simulates entries over the fakes, first with faults that are drawn from a
/// seed, then without faults until all jobs have ended. Checks the invariants
/// after every step.
class FaultSchedule {
 public:
  FaultSchedule(std::uint64_t seed, const FaultMix& mix);

  /// Returns the first violation of an invariant; empty if there is none.
  std::string Run();

 private:
  void SubmitWork();
  void InjectFaults();
  void ClearFaults();
  void StepAll();
  std::string CheckInvariantsNow();
  std::string CheckAtEnd();
  bool AllJobsEnded();

  fakes::SimWorld world_;
  const FaultMix mix_;
  std::vector<std::unique_ptr<fakes::SimEntry>> entries_;
  std::map<std::string, std::string> ended_phases_;
  int jobs_ = 0;
  int next_vm_ = 0;
  int config_writes_ = 0;
};

}  // namespace basilspur::schedules

#endif  // BASILSPUR_TESTS_AUTO_SCHEDULES_SCHEDULE_H_
