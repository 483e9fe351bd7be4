#ifndef BASILSPUR_TESTS_SOAK_ENTRY_OPERATOR_H_
#define BASILSPUR_TESTS_SOAK_ENTRY_OPERATOR_H_

#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "soak/soak_plan.h"
#include "system/platform_deployment.h"

namespace basilspur::soak {

/// Carries out a plan as the platform does: SIGTERM, SIGKILL at the end of the
/// grace, and a restart after the exit; and checks how the processes end.
///
/// Thread safety: one thread at a time.
class EntryOperator {
 public:
  EntryOperator(const SoakPlan& plan,
                system_test::PlatformDeployment& deployment);

  /// Carries out the plan, then waits until all entries run again.
  void CarryOut();
  /// Stops all entries at once and does not restart them.
  void StopAll();

  /// One line for each process that did not end as it should.
  const std::vector<std::string>& Findings() const { return findings_; }
  int Stops() const { return stops_; }

 private:
  struct Entry {
    bool runs = true;
    Millis started_at;
    Millis restart_at;  ///< While it does not run.
    std::optional<Millis> stopping_since;
    std::optional<Millis> frozen_until;
    bool grace_over = false;
    std::string state;        ///< At the end of a stop, as the system names it.
    bool killed = false;      ///< The plan kills it.
    bool was_frozen = false;  ///< It may miss its grace.
    bool was_on_disk = false;  ///< It waited for the disk while it was stopped.
  };

  void Apply(const Action& action);
  int PickEntry(const Action& action);
  bool MayStop() const;
  void StopEntry(int number, bool twice);
  void FreezeEntry(int number, Millis duration);
  /// Kills, reaps, continues and restarts entries whose time has come.
  void Poll();
  void PollProcess(int number);
  /// Notes the states of a process that is about to exit, which tell a process
  /// that waits for a disk from one that waits for a processor.
  void NoteState(int number);
  void CheckExit(int number, int exit_code);
  void SetStoreFault(const Action& action);
  void EndStoreFaults();
  bool AllRun() const;
  /// Sends a signal and notes it beside the entries' logs.
  void Signal(int number, int signal);
  void Note(int number, const std::string& event);
  Millis Now() const { return clock_.Monotonic(); }

  const SoakPlan& plan_;
  system_test::PlatformDeployment& deployment_;
  SystemClock clock_;
  std::mt19937_64 random_;
  std::vector<Entry> entries_;
  std::map<int, int> next_in_series_;
  std::map<Action::Kind, Millis> store_faults_end_;
  std::vector<Millis> repeats_;  ///< Times of second SIGTERMs, by entry.
  bool restarts_ = true;
  int stops_ = 0;
  std::ofstream notes_;  ///< Times are those of the entries' logs.
  std::vector<std::string> findings_;
};

}  // namespace basilspur::soak

#endif  // BASILSPUR_TESTS_SOAK_ENTRY_OPERATOR_H_
