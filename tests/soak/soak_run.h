#ifndef BASILSPUR_TESTS_SOAK_SOAK_RUN_H_
#define BASILSPUR_TESTS_SOAK_SOAK_RUN_H_

#include <string>
#include <vector>

#include "soak/call_ledger.h"
#include "soak/entry_operator.h"
#include "soak/soak_plan.h"
#include "system/platform_deployment.h"

namespace basilspur::soak {

/// Plays one plan on a deployment of its own and checks what callers, the
/// operator and the workers have seen.
///
/// Thread safety: one thread at a time.
class SoakRun {
 public:
  explicit SoakRun(const SoakPlan& plan);

  /// Returns one line for each broken promise. Precondition: not called before.
  std::vector<std::string> Play();
  /// One line with the figures of the run. Precondition: Play() was called.
  std::string Summary() const;
  const std::string& LogFolder() const { return deployment_.LogFolder(); }

 private:
  void CheckReady();
  void PlayTraffic();
  /// Asks each entry for each job that was accepted, and later for its end.
  void CheckJobsAtEntries();
  std::vector<std::string> CheckJobsAtEntry(int entry);
  void CheckEndOfJob(const std::string& job, Millis deadline);
  /// What an entry's log says of requests that were cut.
  void CheckLogs();
  void CheckRuns();
  void CheckRunsOfJob(const std::string& job, const SubmittedJob& submitted);
  void CheckShare();
  void Report(const std::string& finding) { findings_.push_back(finding); }

  const SoakPlan& plan_;
  CallLedger ledger_;
  system_test::PlatformDeployment deployment_;
  EntryOperator operator_;
  std::vector<std::string> findings_;
};

}  // namespace basilspur::soak

#endif  // BASILSPUR_TESTS_SOAK_SOAK_RUN_H_
