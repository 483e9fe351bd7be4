#ifndef TESTS_SIM_PROMISE_CHECKER_H_
#define TESTS_SIM_PROMISE_CHECKER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "cell/peer_messages.h"
#include "jobs/job_spec.h"
#include "jobs/vm_report.h"
#include "sim/trace.h"

namespace basilspur::sim {

/// Time from the store's acknowledgement of an order to close a data center
/// until nothing starts there.
inline constexpr Millis kClosureBound(5'000);

/// The same for a VM that drains.
inline constexpr Millis kDrainBound(3'000);

/// Checks the users' promises by what the VMs and the callers see.
///
/// Thread safety: one thread at a time.
class PromiseChecker {
 public:
  /// Precondition: the references outlive the object.
  PromiseChecker(const Clock& clock, Trace& trace)
      : clock_(clock), trace_(trace) {}

  /// A caller is about to submit the job.
  void OnSubmit(const std::string& job, const jobs::JobSpec& spec);
  void OnAccepted(const std::string& job);
  /// A caller was told that the job is not accepted, and does not try again.
  void OnRefused(const std::string& job) { refused_.insert(job); }
  /// The cancelling of the job was confirmed to a caller.
  void OnCancelled(const std::string& job);
  void OnShown(const std::string& job, cell::ReplyKind state);

  /// A run was started on a VM. `fits` is whether the VM had room for it.
  void OnStart(const std::string& vm, const jobs::TaskRef& task, int run,
               bool fits, bool sender_in_touch);
  void OnEnd(const std::string& vm, const jobs::EndedRunReport& end);
  /// The owner has acknowledged the end to the VM.
  void OnAcknowledged(const std::string& vm, const jobs::EndedRunReport& end);
  /// The lease of the VM has expired. Ends that were not acknowledged are void.
  void OnLapse(const std::string& vm);
  /// A run of the task has ended the worker of its VM, after OnVmGone.
  void OnCrash(const std::string& vm, const jobs::TaskRef& task);
  /// The VM has terminated, and so have all its runs.
  void OnVmGone(const std::string& vm);

  /// The store has acknowledged an order to close the data center, or to open
  /// it again.
  void OnDataCenterClosed(const std::string& data_center);
  void OnDataCenterOpened(const std::string& data_center);
  /// The store has acknowledged an entry of the VM, or its deletion.
  void OnListing(const std::string& vm, bool draining);
  /// A run was started on the VM by a sender that knows the VMs.
  void OnStartByKnowing(const std::string& vm, const jobs::TaskRef& task);
  /// A run was started on a VM of the data center.
  void OnStartIn(const std::string& data_center, const std::string& vm,
                 const jobs::TaskRef& task);

  /// Number of runs of the task that were started.
  int StartsOf(const jobs::TaskRef& task) const;
  bool IsShownAsFailed(const std::string& job) const {
    return shown_as_failed_.contains(job);
  }
  bool IsShownAsDone(const std::string& job) const {
    return shown_as_done_.contains(job);
  }
  bool IsRunning(const jobs::TaskRef& task) const;
  /// Whether a caller was told that the job is cancelled.
  bool IsCancelled(const std::string& job) const {
    return cancelled_.contains(job);
  }
  /// Whether no run is left of the jobs whose cancelling was confirmed at least
  /// `limit` ago. Reports those that are left.
  bool CheckStopsOfCancelled(Millis limit);
  /// No faults occur, so the other runs of a task that is done end in time.
  void ExpectTimelyStops() { expects_timely_stops_ = true; }
  /// Number of runs that were started while another run of the task was on a
  /// VM.
  int StartsBesideOthers() const { return starts_beside_others_; }
  /// Accepted jobs in the order of their ids.
  const std::set<std::string>& Accepted() const { return accepted_; }
  /// Reports what was lost after a calm period: accepted jobs that are not in
  /// the state that they have to be in, by `state` as the owner shows it.
  /// A job that waits is lost only if `has_room` is true for its next task and
  /// nothing of the job has run for a while.
  void CheckAfterCalm(
      const std::string& job, cell::ReplyKind state,
      const std::function<bool(const records::Resources&)>& has_room);
  void Report(const std::string& violation);
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct DoneEnd {
    std::string vm;
    std::int64_t number = 0;
    Millis at;
    bool acknowledged = false;
    bool lapsed = false;
  };
  struct TaskState {
    std::map<std::string, int> runs;  ///< Present runs by VM.
    std::vector<DoneEnd> done;
    int starts = 0;
    Millis last_start;
    std::string last_start_text;
    int failures = 0;
    int crashes = 0;               ///< VMs that runs of the task have ended.
    int starts_after_crashes = 0;  ///< Since the task may be given up.
    Millis last_run_end;
  };

  /// Reports runs that are left of tasks that are done.
  void CheckCopies(const std::string& job);
  /// Whether the task was done so long ago that no run of it is left.
  bool WasDoneLongAgo(const TaskState& task) const;
  bool MayHaveCopies(const jobs::TaskRef& task) const;
  void CheckCancelled(const std::string& job, cell::ReplyKind state);
  /// Reports the runs that are left of a cancelled job.
  void ReportRunsOf(const std::string& job);
  bool MayBeGivenUp(const std::string& job) const;
  bool RanLately(const std::string& job) const;
  bool WaitsDespiteRoom(
      const std::string& job,
      const std::function<bool(const records::Resources&)>& has_room) const;
  bool AllDone(const std::string& job, int step) const;
  /// The same, and each has an end that was acknowledged. One that was lost
  /// with its VM makes the task run again.
  bool AllDoneForGood(const std::string& job, int step) const;
  void CheckDependencies(const jobs::TaskRef& task);

  const Clock& clock_;
  Trace& trace_;
  std::map<std::string, jobs::JobSpec> specs_;
  std::set<std::string> accepted_;
  std::set<std::string> shown_as_failed_;
  std::set<std::string> refused_;
  std::set<std::string> shown_as_done_;
  std::map<std::string, Millis> cancelled_;     ///< When it was confirmed.
  std::map<std::string, Millis> closed_at_;     ///< By data center.
  std::map<std::string, Millis> drains_since_;  ///< By VM.
  std::map<jobs::TaskRef, TaskState> tasks_;
  int starts_beside_others_ = 0;
  bool expects_timely_stops_ = false;
  std::vector<std::string> violations_;
};

}  // namespace basilspur::sim

#endif  // TESTS_SIM_PROMISE_CHECKER_H_
