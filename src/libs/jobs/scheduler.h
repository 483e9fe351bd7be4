#ifndef BASILSPUR_JOBS_SCHEDULER_H_
#define BASILSPUR_JOBS_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "jobs/catalog.h"
#include "jobs/job.h"
#include "jobs/journal_batch.h"
#include "jobs/moved_jobs.h"
#include "jobs/order.h"
#include "jobs/placer.h"
#include "jobs/scheduler_settings.h"
#include "jobs/service_order.h"
#include "jobs/silent_vm.h"
#include "jobs/tail_watch.h"
#include "jobs/unplaceable.h"
#include "jobs/vm.h"

namespace basilspur::jobs {

enum class SubmitVerdict { kNew, kKnown, kTooManyJobs };

/// How closely a VM has to be watched.
enum class VmLoad { kIdle, kBusy, kMixed };

/// How a cell stands, for logs and metrics.
struct CellSummary {
  int active_jobs = 0;
  int waiting_tasks = 0;  ///< That could run now.
  int waiting_long_running = 0;
  int waiting_best_effort = 0;
  int runs = 0;
  int unreachable_vms = 0;
  std::int64_t room_cpu_millis = 0;
  std::int64_t free_cpu_millis = 0;
  std::int64_t waiting_cpu_millis = 0;      ///< Of charged tasks that wait.
  std::int64_t best_effort_cpu_millis = 0;  ///< Running or waiting.
  Millis oldest_wait;  ///< Of a job with a task that could run.
};

/// What callers are shown of a job.
enum class ShownState { kQueued, kRunning, kDone, kFailed, kCancelled };

/// Decides for one cell: which task runs where and when, what each report and
/// lost answer means, and what has to be durable. It does no input or output;
/// time is an argument, on a clock that counts suspensions.
///
/// Thread safety: one thread at a time.
class Scheduler {
 public:
  explicit Scheduler(SchedulerSettings settings);
  ~Scheduler();

  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Precondition: newer than the one before.
  void ApplyCatalog(const Catalog& catalog);

  /// A VM is on the list, or has changed there.
  void ListVm(const VmListing& listing, Millis now);
  /// A VM has left the list: it gets no new runs; what it has still counts.
  void UnlistVm(const std::string& id, Millis now);

  /// Takes a job in from the journal. Call for all before the first plan.
  void Restore(const std::string& id, const JobRecord& record,
               const std::optional<ProgressRecord>& progress,
               std::int64_t wall_ms, Millis now);
  /// Takes in what the journal has of a VM, listed or not.
  void RestoreVm(const std::string& vm, const VmRecord& record, Millis now);
  /// Ends the restoring. `first_run`: the lowest number for new runs.
  void FinishRestore(int first_run, Millis now);
  /// Earlier owners renew no leases any more, as of now.
  void EndInheritedLeases(Millis now);
  /// The newest record says that the VM's lease holds no longer than this, and
  /// that no owner extends it.
  void BoundLapse(const SilentVm& told);
  /// The silent VMs to tell in a record that is about to be written; their
  /// leases are not extended until a record without them is in force.
  std::vector<SilentVm> TellSilentVms(Millis now);
  /// The record that told of `told`, and of no others, is the newest.
  void OnSilentVmsTold(const std::vector<SilentVm>& told);
  /// All that earlier owners ordered is in the journal.
  void TrustRecords() { records_whole_ = true; }
  /// No earlier owner's run can be unknown here.
  bool KnowsAllRuns() const { return records_whole_ || all_settled_; }

  /// kNew and kKnown jobs are accepted once IsAccepted is true.
  SubmitVerdict Submit(const std::string& id, const QueueConfig& queue,
                       JobSpec spec, std::int64_t wall_ms, Millis now);
  /// False if there is no such job.
  bool Cancel(const std::string& id, std::int64_t wall_ms);
  bool Knows(const std::string& id) const;
  /// True once the journal holds the job.
  bool IsAccepted(const std::string& id) const;
  /// True once the journal holds the job's cancelling, or it had ended before.
  bool IsEnded(const std::string& id) const;
  std::optional<ShownState> Shown(const std::string& id) const;
  /// Since the job was accepted; by the time of day, if by another owner.
  Millis AgeOf(const std::string& id, Millis now) const;
  /// Accepted jobs of a queue without a started task.
  int Pending(std::string_view queue) const;

  /// What has changed since the last call, for the journal. Empty entries and
  /// ends: nothing has.
  JournalBatch TakeBatch(std::int64_t wall_ms);
  bool HasBatch() const;
  /// The journal holds the batch.
  void OnDurable(const JournalBatch& batch);

  /// The deadline for a renewal or start that is sent now.
  std::int64_t NextDeadline(const std::string& vm, Millis now);
  /// The newest end of the VM that may be acknowledged.
  std::int64_t AcknowledgedEnd(const std::string& vm) const;
  /// The newest end of the VM that was taken in.
  std::int64_t NewestEnd(const std::string& vm) const;
  /// Ends were taken in that may not be acknowledged yet.
  bool HasUnacknowledgedEnds(const std::string& vm) const;
  void OnReport(const std::string& vm, const VmReport& report, Millis sent,
                Millis now);
  /// A renewal was not answered.
  void OnSilent(const std::string& vm, Millis now);
  /// The VM has restarted: nothing of this lifetime runs.
  void OnOtherLife(const std::string& vm);
  void OnOrderOutcome(const Order& order, OrderOutcome outcome,
                      std::int64_t clock_ms, Millis sent, Millis now);

  /// The orders to send now. Call after events and every 100 ms or so.
  std::vector<Order> Plan(std::int64_t wall_ms, Millis now);

  /// Empty once the VM is of no more concern.
  std::optional<VmListing> Listing(const std::string& vm) const;
  VmLoad LoadOf(const std::string& vm) const;
  /// VMs to renew leases at, with their addresses.
  std::vector<VmListing> VmsToRenew() const;
  std::size_t ActiveJobs() const { return active_.size(); }
  CellSummary Summary(Millis now) const;
  /// What is known of tails and of the images that raise them.
  TailController& Tails() { return tails_; }
  const TailController& Tails() const { return tails_; }
  /// Jobs that other cells took.
  MovedJobs& Moved() { return moved_; }
  const MovedJobs& Moved() const { return moved_; }

 private:
  /// Urgent queues first, then first come, first served.
  using OrderKey = std::pair<int, std::pair<std::int64_t, std::string>>;

  Job* FindJob(const std::string& id);
  Vm* FindVm(const std::string& id);
  void Activate(Job& job);
  void EndJob(Job& job, JobStatus status, std::int64_t wall_ms);
  void ForgetEndedJobs(std::int64_t wall_ms);
  void MarkProgress(Job& job);

  bool IsUnrecorded(const Job* job, const Task* task, int run) const;
  void AdoptRunning(Vm& vm, const RunningRunReport& row, Millis now);
  void TakeEnd(Vm& vm, const EndedRunReport& row, bool lease_lapsed,
               Millis now);
  bool IsSurelyOver(Run& run, Millis sent) const;
  void ReleaseAbsentRuns(Vm& vm, const VmReport& report, Millis sent);
  void ReleaseRun(Vm& vm, const TaskRef& ref, int number);
  void GiveUpRuns(Vm& vm);
  void CheckLapses(Millis now);
  void ApplyDone(Job& job, const TaskRef& ref);
  void ApplyFailure(Job& job, const TaskRef& ref, Vm& vm, Millis now);
  void NoteVmFailure(Vm& vm, Millis now);
  void FinishStep(Job& job, Occurrence& occurrence, int step);

  void AddDueOccurrences(Job& job, std::int64_t wall_ms);
  void PlanJob(Job& job, const std::vector<Vm*>& vms, Millis now,
               std::vector<Order>& orders);
  void PlanStep(Job& job, Occurrence& occurrence, int step,
                const std::vector<Vm*>& vms, Millis now,
                std::vector<Order>& orders);
  void PlanGang(Job& job, Occurrence& occurrence, int step, Millis now,
                std::vector<Order>& orders);
  bool NeedsRun(const Task& task, Millis now) const;
  /// Keeps a VM's room for a long-running task that found none.
  void ReserveFor(const TaskRef& ref, const StepSpec& spec,
                  const std::string& service, const std::vector<Vm*>& vms,
                  Millis now);
  /// Moves long-running tasks off VMs that leave, where there is room.
  void PlanEvacuations(const std::vector<Vm*>& vms, Millis now,
                       std::vector<Order>& orders);
  /// False if the run was not stopped.
  bool Evacuate(const RunKey& key, const std::vector<Vm*>& vms, Millis now,
                std::vector<Order>& orders);
  void StartTask(Job& job, const TaskRef& ref, const Placement& place,
                 int number, Millis now, std::vector<Order>& orders);
  void PlanRetries(Job& job, Millis now, std::vector<Order>& orders);
  void PlanPaces(std::vector<Order>& orders);
  void PlanStalls(Job& job, Millis now);
  void PlanEndings(Millis now, std::vector<Order>& orders);
  void PlanStrays(Millis now, std::vector<Order>& orders);
  void OrderStop(const TaskRef& ref, Run& run, Millis now,
                 std::vector<Order>& orders);
  std::vector<Vm*> AllVms();
  bool MayStart(const Job& job) const;
  /// Urgent queues first, then by tier, then first come, first served.
  std::vector<Job*> InOrderOfService() const;
  void UpdateTier(Job& job, Millis now);
  int NextRunNumber(const Job& job, const Task& task) const;

  SchedulerSettings settings_;
  Catalog catalog_;
  JobTierPolicy order_;
  MovedJobs moved_;
  UnplaceableTasks unplaceable_;  ///< In the present plan.
  TailController tails_;
  Placer placer_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<OrderKey, Job*> active_;
  std::set<std::string> ending_;  ///< Ended jobs with runs to stop.
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::set<std::string> dirty_;
  std::map<std::string, Millis> told_lapses_;  ///< By the last owner.
  std::vector<JournalEntry> dropped_;
  std::map<std::string, std::int64_t> new_ends_;
  /// Runs on VMs that no job wants, to be stopped: when last ordered.
  std::map<std::pair<std::string, RunKey>, Millis> strays_;
  bool all_settled_ = true;
  bool records_whole_ = false;
  Millis checked_;  ///< When retries, stalls and paces were last looked at.
  int first_run_ = 1;
  std::int64_t wall_ms_ = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SCHEDULER_H_
