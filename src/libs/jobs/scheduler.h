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
#include "jobs/backfill_policy.h"
#include "jobs/catalog.h"
#include "jobs/cell_summary.h"
#include "jobs/copy_policy.h"
#include "jobs/crash_policy.h"
#include "jobs/data_center_closures.h"
#include "jobs/delegation.h"
#include "jobs/delegation_policy.h"
#include "jobs/held_ends.h"
#include "jobs/job.h"
#include "jobs/job_tier_policy.h"
#include "jobs/job_turn.h"
#include "jobs/journal_batch.h"
#include "jobs/known_run.h"
#include "jobs/known_worker.h"
#include "jobs/late_job_order.h"
#include "jobs/late_starts.h"
#include "jobs/lease_authority.h"
#include "jobs/long_running_wait.h"
#include "jobs/moved_jobs.h"
#include "jobs/placer.h"
#include "jobs/preemption.h"
#include "jobs/preemption_policy.h"
#include "jobs/restored_job.h"
#include "jobs/run_command.h"
#include "jobs/run_events.h"
#include "jobs/run_times.h"
#include "jobs/scheduler_settings.h"
#include "jobs/sent_delegations.h"
#include "jobs/slow_task.h"
#include "jobs/submit_result.h"
#include "jobs/tail_controller.h"
#include "jobs/task_copy.h"
#include "jobs/unplaceable_tasks.h"
#include "jobs/unreachable_vm.h"
#include "jobs/visible_job_state.h"
#include "jobs/vm.h"
#include "jobs/vm_load.h"
#include "jobs/vm_loss.h"
#include "jobs/waiting_task.h"

namespace basilspur::jobs {

class PlacementQueue;
enum class VmWait;
struct AwaitedVm;
struct UnreportedRun;

/// Scheduling logic of one cell: decides which task runs on which VM and when,
/// processes the reports of VMs and the loss of answers, and determines what
/// has to be written to the journal. It does no input or output. Time is passed
/// as an argument, on a clock that keeps counting while the host is suspended.
///
/// Thread safety: one thread at a time.
class Scheduler {
 public:
  explicit Scheduler(SchedulerSettings settings);
  ~Scheduler();

  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// Applies to all jobs that have not ended, whether they are in the journal
  /// yet or not, and to each job that is added later. Precondition: `catalog`
  /// is newer than the one applied before.
  void ApplyCatalog(const Catalog& catalog);
  /// Operators have closed or opened data centers.
  void ApplyClosures(const DataCenterClosures& closures) {
    closures_ = closures;
  }

  /// While starts are held, tasks wait and no start is sent again. Stops and
  /// everything else go on.
  void HoldStarts(bool held) { starts_held_ = held; }

  /// Adds a VM that is on the platform's list, or updates its listing.
  void UpsertVm(const VmListing& listing, Millis now);
  /// Marks a VM as no longer listed. It gets no new runs; its present runs
  /// still count against its capacity. Later plans remove it once it has no
  /// runs and its lease has expired.
  void UnlistVm(const std::string& id);

  /// Restores a job from the journal. Call for all jobs before the first plan.
  void Restore(const std::string& id, const JobRecord& record,
               const std::optional<ProgressRecord>& progress,
               std::int64_t wall_ms, Millis now);
  /// Restores a VM from the journal, whether it is listed or not.
  void RestoreVm(const std::string& vm, const VmRecord& record, Millis now);
  /// Returns the restored jobs that had not ended. Call before the first plan.
  std::vector<RestoredJob> RestoredJobs(Millis now) const;
  /// Completes the restoring. New runs of restored jobs are numbered from
  /// `first_run_number`.
  void FinishRestore(int first_run_number, Millis now);
  /// Earlier owners extend no lease after `stopped_by`, so their leases end at
  /// most one lease duration, plus the clock drift, later.
  void BoundInheritedLeases(Millis stopped_by);
  /// The newest owner record bounds the VM's lease to
  /// `unreachable.lease_expiry`; no owner extends it beyond that.
  void BoundLeaseExpiry(const UnreachableVm& unreachable);
  /// The predecessor has released the cell and did not reach the VM then. This
  /// owner may extend its lease.
  void BoundLeaseOfUnreachedVm(const UnreachableVm& unreached);
  /// Returns the unreachable VMs for the owner record that is about to be
  /// written. Their leases are not extended until a record without them is in
  /// force.
  std::vector<UnreachableVm> CollectUnreachableVms(Millis now);
  /// Returns the unreachable VMs that CollectUnreachableVms leaves out since
  /// they have been so for a short time only.
  std::vector<UnreachableVm> UnreachedVms(Millis now) const;
  /// The newest owner record names exactly the VMs of `recorded_vms` as
  /// unreachable.
  void OnUnreachableVmsRecorded(const std::vector<UnreachableVm>& recorded_vms);
  /// No other owner had claimed the cell by `at`, so none has extended a lease
  /// before. Leases that end later do not count as expired yet. Until the first
  /// call, this owner counts as the only one.
  void ConfirmOwnership(Millis at) { lease_authority_.OnConfirmed(at); }
  /// The renewal of the ownership that was sent at `at` is stored. Until the
  /// first call, this owner counts as the only one.
  void OnOwnershipRenewed(Millis at) { lease_authority_.OnRenewed(at); }
  /// Whether leases may be extended, and so runs be started: see
  /// LeaseAuthority.
  bool MayExtendLeases(Millis now) const;
  /// Returns from when on a single predecessor that may still act extends no
  /// lease; empty: not known yet.
  std::optional<Millis> PredecessorStopsBy() const {
    return lease_authority_.PredecessorStopsBy();
  }
  /// Whether runs wait for a confirmation of the ownership that is newer than
  /// the end of their VM's lease.
  bool AwaitsConfirmation(Millis now) const;
  /// The journal contains every run that earlier owners started.
  void MarkJournalComplete() { journal_complete_ = true; }
  /// True if no run of an earlier owner can be unknown to this one.
  bool HasCompleteRunState() const {
    return journal_complete_ || all_vms_reconciled_;
  }

  /// Jobs with the result kNew or kAlreadyExists are accepted once IsAccepted
  /// returns true.
  SubmitResult Submit(const std::string& id, const QueueConfig& queue,
                      JobSpec spec, std::int64_t wall_ms, Millis now);
  /// Returns false if there is no such job.
  bool Cancel(const std::string& id, std::int64_t wall_ms);
  bool HasJob(const std::string& id) const;
  /// True once the job is in the journal.
  bool IsAccepted(const std::string& id) const;
  /// True once the job's end, by cancellation or otherwise, is in the journal,
  /// and for unknown jobs.
  bool IsEnded(const std::string& id) const;
  std::optional<VisibleJobState> VisibleStateOf(const std::string& id) const;
  /// Time since the job was accepted. For a job that an earlier owner accepted,
  /// it is derived from the time of day.
  Millis AgeOf(const std::string& id, Millis now) const;
  /// Returns the runs of the job that may be executing, and its delegated
  /// tasks. Empty if there is no such job.
  std::vector<KnownRun> RunsOf(const std::string& id) const;
  /// Number of accepted jobs of `queue` without a started task.
  int PendingJobs(std::string_view queue) const;

  /// Whether a start command that was planned for the VM may still be sent: it
  /// has not left or begun to drain since, its data center is open, and a
  /// worker that has started again is fenced and its lease in the journal.
  bool MaySendStart(const std::string& vm) const;

  /// Returns what has changed since the last call, for the journal. The entries
  /// and ends are empty if nothing has.
  JournalBatch TakeBatch(std::int64_t wall_ms);
  bool HasBatch() const;
  /// Whether callers or new runs wait for changes to become durable.
  bool HasUrgentChanges() const {
    return urgent_changes_ || moved_.HasChanges();
  }
  /// The batch is durable in the journal.
  void OnDurable(const JournalBatch& batch);

  /// Lease deadline, on the VM's clock, for a renewal or start that is sent at
  /// `now`; 0 if the lease must not be extended.
  std::int64_t NextDeadline(const std::string& vm, Millis now);
  /// Number of the VM's newest run end that is durable in the journal, and so
  /// may be acknowledged. 0: none, or the VM's worker is not known.
  std::int64_t EndToAcknowledge(const std::string& vm) const;
  /// Number of the VM's newest run end that was processed.
  std::int64_t NewestProcessedEnd(const std::string& vm) const;
  /// The worker that the VM last reported.
  KnownWorker WorkerOf(const std::string& vm) const;
  /// Number of the VM's worker, for the fencing tokens of calls. It rises when
  /// the worker starts again, so that the new one can reject calls that were
  /// meant for the former one.
  std::int64_t WorkerGeneration(const std::string& vm) const;
  /// When the last lease that the VM may hold expires. Precondition: the VM is
  /// known.
  Millis LatestLeaseExpiry(const std::string& vm) const {
    return vms_.at(vm)->LatestLeaseExpiry();
  }
  /// Whether the VM's worker rejects calls that were meant for a former one.
  bool IsFenced(const std::string& vm) const;
  /// True if run ends were processed that are not durable yet, and so must not
  /// be acknowledged. The next batches make them durable.
  bool HasNonDurableEnds(const std::string& vm) const;
  /// True if the acknowledgement of an end waits for a start that may still
  /// take effect. No batch is pending for it, and the VM repeats the end in
  /// each report.
  bool HasHeldEnds(const std::string& vm) const;
  /// Processes the VM's answer to a renewal that was sent at `sent`.
  void OnReport(const std::string& vm, const VmReport& report, Millis sent,
                Millis now);
  /// A renewal of the VM's lease was not answered.
  void OnVmUnreachable(const std::string& vm, VmOutage outage, Millis now);
  /// A call to the VM, sent at `sent`, was answered by another incarnation.
  /// Returns whether this shows that no run of this incarnation is left; see
  /// Vm::IsPresentCall and Vm::IsKnownAtAddress.
  bool OnVmRestarted(const std::string& vm, Millis sent, Millis now);
  /// Returns the incarnations of VMs that were lost with runs on them since the
  /// last call.
  std::vector<VmLoss> TakeVmLosses();
  /// Returns what has happened to copies of tasks since the last call.
  std::vector<CopyEvent> TakeCopyEvents();
  const CopyCounts& Copies() const { return copy_counts_; }
  /// Returns the preemptions since the last call.
  std::vector<Preemption> TakePreemptions();
  /// Processes the outcome of a command that was sent at `sent`. `clock_ms` is
  /// the VM's clock in the answer; 0 if there is none.
  void OnCommandOutcome(const RunCommand& command, RunCommandOutcome outcome,
                        std::int64_t clock_ms, Millis sent, Millis now);

  /// Returns long-running tasks that have waited so long for a place that
  /// another cell should host them. Call about every 100 ms.
  std::vector<TaskRef> TasksToDelegate(Millis now);
  /// The same for tasks that end. Call after the last plan of a tick, and only
  /// while another cell has room.
  std::vector<TaskRef> ShortTasksToDelegate(Millis now);
  /// Returns the first tasks of gangs that have waited so long for a place that
  /// another cell should host them, if this one can never hold them.
  std::vector<TaskRef> GangsToDelegate(Millis now);
  /// Returns the cell that should not host the task now, since it has returned
  /// it a short while ago; -1: none. Precondition: the task is known.
  int CellToAvoid(const TaskRef& ref, Millis now) const;
  /// Precondition: the task is known.
  const StepSpec& SpecOf(const TaskRef& ref) const;
  /// The service that runs the job. Precondition: the job is known.
  const std::string& ServiceOf(const std::string& job) const {
    return jobs_.at(job)->record.service;
  }
  /// Delegates a task, once the journal says so. Precondition: the task is one
  /// of TasksToDelegate or ShortTasksToDelegate.
  void Delegate(const TaskRef& ref, int host_cell);
  /// Delegates all tasks of a gang. Precondition: the task is one of
  /// GangsToDelegate.
  void DelegateGang(const TaskRef& ref, int host_cell);
  /// Of tasks that end, since this owner has begun.
  const DelegationCounts& CountsOfDelegations() const {
    return delegation_counts_;
  }
  /// Returns what to send to which host cells now.
  std::vector<std::pair<int, Delegation>> DelegationsToSend(Millis now);
  /// Processes a host's answer.
  void OnDelegationReport(const std::string& id, int host_cell,
                          const DelegationReport& report, Millis now);
  /// Serves another cell's delegation. The report has no rows if it can't be
  /// served.
  DelegationReport Host(const Delegation& delegation, std::int64_t wall_ms,
                        Millis now);
  /// Returns ended jobs with tasks at one of the host cells, at most
  /// `max_count`, in the order of their ids from `after` on and around.
  std::vector<std::string> EndedJobsAt(const std::set<int>& hosts,
                                       const std::string& after,
                                       std::size_t max_count);
  /// Returns the cells that have delegated tasks to this one.
  std::set<int> HomesOfHostedTasks() const;
  /// These jobs of the home cell have ended. Recalls the hosted tasks of those
  /// that are known here, and returns how many there are.
  int RecallHosted(int home_cell, const std::vector<std::string>& ended_jobs);

  /// Returns the commands to send now. Call after events and about every 100
  /// ms.
  std::vector<RunCommand> Plan(std::int64_t wall_ms, Millis now);
  /// Whether the last plan has started as many tasks as one may, so that others
  /// may have places.
  bool HasMoreToPlan() const { return has_more_to_plan_; }

  /// Listing of the VM. Empty if no address of it is known, or once it was
  /// removed: it is not listed, has no runs, and its lease has expired.
  std::optional<VmListing> Listing(const std::string& vm) const;
  VmLoad LoadOf(const std::string& vm) const;
  /// VMs whose leases have to be renewed; all have an address.
  std::vector<VmListing> VmsToRenew() const;
  std::size_t ActiveJobs() const { return active_jobs_.size(); }
  CellSummary Summary(Millis now) const;
  /// Returns a waiting task of the oldest job that has one, either among the
  /// best-effort tasks or among the others, and why it waits. Jobs of which
  /// nothing runs are preferred. Checks each VM once.
  std::optional<WaitingTask> OldestWaitingTask(bool best_effort,
                                               Millis now) const;
  /// Returns the long-running tasks that have had no confirmed run for
  /// `min_age`, at most `max_count` of them, the longest first. Checks each VM
  /// once for each of them.
  std::vector<LongRunningWait> LongRunningWaits(Millis min_age,
                                                std::size_t max_count,
                                                Millis now) const;
  /// Returns the VMs that have runs, or may have runs of earlier owners, and
  /// have not reported for `min_age`.
  std::vector<AwaitedVm> AwaitedVms(Millis min_age, Millis now) const;
  /// Returns the runs on reachable VMs about which these have confirmed nothing
  /// for `min_age` and which they do not list, long-running tasks first.
  std::vector<UnreportedRun> UnreportedRuns(Millis min_age, Millis now) const;
  /// Model of tail latencies and of the images that raise them.
  TailController& Tails() { return tails_; }
  const TailController& Tails() const { return tails_; }
  /// What was concluded about runs, for the log.
  RunEvents& Events() { return run_events_; }
  /// Jobs of this cell that were moved to other cells.
  MovedJobs& Moved() { return moved_; }
  const MovedJobs& Moved() const { return moved_; }

 private:
  /// Sorts by the queue's priority, then by the time of acceptance.
  using ActiveJobKey = std::pair<int, std::pair<std::int64_t, std::string>>;

  Job* FindJob(const std::string& id);
  /// Returns null if the job or the task is not known.
  Task* FindTask(const TaskRef& ref);
  /// Returns null if the run is not known on that VM.
  Run* FindRun(const RunKey& key, const std::string& vm);
  Vm* FindVm(const std::string& id);
  /// Returns the VM, which an earlier owner may have used.
  Vm& InheritVm(const std::string& id, const std::string& address, Millis now);
  static ActiveJobKey KeyOf(const Job& job);
  void Activate(Job& job);
  /// Adds a job that is restored, submitted or hosted.
  Job& AddJob(std::unique_ptr<Job> job);
  /// Applies the configuration of the job's queue to its record, unless the
  /// record is from a newer configuration.
  void ApplyQueue(Job& job);
  void EndJob(Job& job, JobStatus status, std::int64_t wall_ms);
  bool CanPurge(const Job& job, std::int64_t wall_ms) const;
  void PurgeEndedJobs(std::int64_t wall_ms);
  /// The progress of any of the job's tasks, or of the whole job, has changed
  /// and is to be written.
  void MarkProgressDirty(Job& job);
  /// The progress of this task has changed and is to be written.
  void MarkTaskDirty(Job& job, const TaskRef& task);
  void ScheduleProgress(Job& job);

  bool IsUnjournaledRun(const Vm& vm, const Job* job, const Task* task,
                        int run) const;
  /// Processes a row of the answer to a renewal that was sent at `sent`.
  void ProcessRunningRun(Vm& vm, const RunningRunReport& row, Millis sent,
                         Millis now);
  /// `void_by`: why an end as done does not count; empty: it does if its run is
  /// known. `may_be_void`: a lapse that is not listed yet may make it void.
  void ProcessEndedRun(Vm& vm, const EndedRunReport& row,
                       std::optional<RunEventKind> void_by, bool may_be_void,
                       Millis now);
  /// When a run whose stop the VM has confirmed, or that is missing from its
  /// reports, has ended at the latest.
  Millis StoppedBy(const Run& run) const;
  /// When a run that no report lists any more has ended at the latest, although
  /// its end was not listed.
  Millis GoneBy(const Run& run) const;
  /// Updates a run that is missing from the report to a renewal that was sent
  /// at `sent`. Returns true if the run has certainly ended.
  bool UpdateAbsentRun(Run& run, Millis sent) const;
  /// The same for a run that belongs to no task.
  bool UpdateAbsentOrphan(RunOnVm& run, Millis sent) const;
  void ReleaseAbsentRuns(Vm& vm, const VmReport& report, Millis sent,
                         Millis now);
  void ReleaseRun(Vm& vm, const TaskRef& ref, int number);
  /// Returns false if the report is from a former worker of the VM. If it is
  /// from a new one, ends what the former one executed.
  bool AcceptWorker(Vm& vm, const VmReport& report, Millis sent, Millis now);
  /// The report, which answers a renewal that was sent at `sent`, is the first
  /// one of a new worker of the VM.
  void ReplaceWorker(Vm& vm, const VmReport& report, Millis sent, Millis now);
  /// Returns the runs that the new worker executes, has ended, or may start
  /// yet. The last ones are to be stopped, unless they were sent after the
  /// report was asked for.
  std::set<RunKey> RunsOfNewWorker(const Vm& vm, const VmReport& report,
                                   Millis sent);
  /// No run of the VM but `kept` is left, and none of them was reported as
  /// ended.
  void LoseRuns(Vm& vm, VmLossCause cause, Millis now,
                const std::set<RunKey>& kept = {},
                std::optional<Millis> restarted_before = {});
  /// The VM is known to have restarted by `restarted_before`, so that
  /// unconfirmed runs that were planned later have not begun; empty: when it
  /// was lost is not known.
  VmLoss MakeVmLoss(const Vm& vm, VmLossCause cause, Millis now,
                    std::optional<Millis> restarted_before = {});
  /// Releases all runs of the VM if OnVmRestarted says that none is left, and
  /// returns whether it does. For `restarted_before` see MakeVmLoss.
  bool LoseRestartedVm(Vm& vm, Millis sent, Millis now,
                       std::optional<Millis> restarted_before);
  /// Like OnVmRestarted, for a command. `run` is the command's run, or null.
  bool OnCommandToRestartedVm(Vm& vm, const RunCommand& command, const Run* run,
                              Millis sent, Millis now);
  /// The VM has closed its connection. Marks the runs that may have crashed it.
  void MarkCrashingRuns(Vm& vm, Millis now);
  /// The VM has answered, so no run has crashed it.
  void UnmarkCrashingRuns(Vm& vm);
  /// Counts the loss against the tasks that may have crashed the VM. Their jobs
  /// fail if that is one loss too many.
  void CountCrash(VmLoss& loss);
  /// Whether a run that may crash its VM can be started without leaving too few
  /// VMs to others.
  bool MayIsolateVm(Millis now) const;
  void ProcessExpiredLeases(Millis now);
  /// The VM's worker may hold the longest lease that VMs grant. Successors have
  /// to know it before runs are started there.
  void ExpectLongLease(Vm& vm, Millis now);
  /// The owner's own leases last as long.
  void ForgetLongLease(Vm& vm);
  VmWait WaitOf(const Vm& vm, Millis now) const;
  VmReach ReachOfVms(Millis now) const;
  /// Whether the VM has been unreachable for long enough to be recorded.
  bool IsUnreachableForLong(const Vm& vm, Millis now) const;
  void ApplyDone(Job& job, const TaskRef& ref);
  void ApplyFailure(Job& job, const TaskRef& ref, Vm& vm, Millis now);
  void RecordVmFailure(Vm& vm, Millis now);
  void FinishOccurrenceIfDone(Job& job, const Occurrence& occurrence);

  /// The cell that runs the task has changed.
  void MarkPlacementChanged(Job& job, Task& task);
  /// The job's delegations that are in the journal, by host cell, without its
  /// record.
  std::map<int, Delegation> DelegationsOf(Job& job) const;
  /// How long a long-running task for which no VM is reserved waits here before
  /// it is delegated.
  Millis DelegationDelayOf(const Task& task, Millis now) const;
  void OnDelegatedTaskReport(Job& job, const TaskRef& ref,
                             const DelegatedTaskReport& report, Millis now);
  /// Takes over how many VMs the host's runs of the task may have crashed.
  void CountCrashesAtHost(Job& job, Task& task,
                          const DelegatedTaskReport& report);
  CellCapacity CapacityBesideLongRunning() const;
  void AddTasksToDelegate(Job& job, int occurrence, int step, Millis delay,
                          Millis now, std::vector<TaskRef>& tasks);
  /// A host has returned a task. Takes over its result.
  void ApplyResultOfHost(Job& job, const TaskRef& ref,
                         const DelegatedTaskReport& report);
  /// Lets steps start that depend on results which are in the journal now.
  void ApplyDurableResults();
  /// The host keeps no result of delegations up to this number.
  void OnSettled(Job& job, Task& task, int host_cell, int number);
  /// This cell, which hosts the task, will not run it again.
  void ReturnTask(Job& job, Task& task);
  /// The same for all tasks of its gang, if it is part of one.
  void ReturnTaskOrGang(Job& job, const TaskRef& ref);
  /// Failed runs of the task, or of all tasks of its gang.
  static int FailuresOf(Job& job, const TaskRef& ref);
  /// Whether the VMs of this cell can run the step if nothing else runs there.
  bool CanHold(const StepSpec& spec, const std::string& service) const;
  /// Whether the step is a gang that has waited so long for a place that
  /// another cell may host it. Notes since when it waits.
  bool GangWaits(const Job& job, Occurrence& occurrence, int step,
                 Millis now) const;
  /// The home cell's journal holds the result. Returns the state to report.
  DelegationState Settle(Job* job, const DelegatedTask& wanted);
  /// Returns hosted tasks that end and have waited too long for a place, and
  /// long-running ones for which no VM of this cell will have room.
  void ReturnWaitingGuests(Millis now);
  /// Plans pass over jobs of which nothing is hosted.
  void UpdateGuestActivity(Job& job);
  Job& AddGuestJob(const Delegation& delegation, std::int64_t wall_ms,
                   Millis now);
  /// Returns whether this recalls the task.
  bool ApplyDelegation(Job& job, Task& task, const DelegatedTask& wanted);
  /// `orphaned`: the tasks of `orphaned_runs_`.
  void ReportHosting(const Job& job, const TaskRef& ref, const Task& task,
                     const std::set<TaskRef>& orphaned,
                     DelegatedTaskReport& row) const;

  void AddDueOccurrences(Job& job, std::int64_t wall_ms);
  /// Removes the finished occurrences of a job that repeats.
  void RetireOccurrences(Job& job);
  /// The home cell has retired these occurrences, so no delegation of their
  /// tasks is valid any more.
  void RetireOccurrencesOfGuest(Job& job,
                                const std::vector<OccurrenceRange>& retired);
  void PlanJob(Job& job, const std::vector<Vm*>& vms, Millis now,
               std::vector<RunCommand>& commands);
  /// Starts tasks of the step. Of a long-running one either those that come
  /// before all tasks that end (`urgent`), or the others.
  void PlanStep(Job& job, Occurrence& occurrence, int step, bool urgent,
                const std::vector<Vm*>& vms, Millis now,
                std::vector<RunCommand>& commands);
  /// Whether the plan has as many starts as one may have.
  bool IsPlanFull();
  void PlanFirstTask(Job& job, const std::vector<Vm*>& vms, Millis now,
                     std::vector<RunCommand>& commands);
  /// Returns false if no VM can host the task and none is reserved for it by a
  /// preemption. `queue` is of the task's step and `vms`; null: all VMs are
  /// compared.
  bool PlanTask(Job& job, const TaskRef& ref, const std::vector<Vm*>& vms,
                PlacementQueue* queue, Millis now,
                std::vector<RunCommand>& commands);
  /// Starts a task that a late copy of a start may start, too: only on the VM
  /// that has received the copy, which executes one run of a task at a time.
  /// Else the task waits.
  void PlanBesideLateStart(Job& job, const TaskRef& ref, PlacementQueue* queue,
                           Millis now, std::vector<RunCommand>& commands);
  /// No VM has room for the task, or the gang that it begins.
  void PlanLaterStart(const Job& job, const TaskRef& ref,
                      const std::vector<Vm*>& vms, Millis now);
  void PlanGang(Job& job, Occurrence& occurrence, int step, Millis now,
                std::vector<RunCommand>& commands);
  /// Whether a late start may begin one of the first `count` tasks of a step.
  bool HasLateStart(TaskRef first, int count) const;
  /// Whether the VMs have as many free places as the gang has tasks. They may
  /// still be too slow for best-effort tasks.
  bool HasPlacesForGang(const Job& job, const TaskRef& first,
                        const std::vector<Vm*>& vms, Millis now) const;
  /// Starts all tasks of the gang. Returns false, and starts none, if the VMs
  /// can't host all of them.
  bool PlaceGang(Job& job, Occurrence& occurrence, int step,
                 const std::vector<Vm*>& vms, Millis now,
                 std::vector<RunCommand>& commands);
  /// Starts one best-effort task of each job of which nothing has run for
  /// the relief delay, the longest idle first. Neither the order of service nor
  /// the limit of predicted tail latencies can thus make a job wait without
  /// end.
  void PlanReliefRuns(const std::vector<Vm*>& vms, Millis now,
                      std::vector<RunCommand>& commands);
  const ReliefLimits& CurrentReliefLimits() const;
  std::vector<Job*> JobsInNeedOfRelief(Millis delay, Millis now) const;
  /// Returns false if no VM can host a relief run of the task.
  bool StartReliefRun(Job& job, const TaskRef& ref, const std::vector<Vm*>& vms,
                      Millis now, std::vector<RunCommand>& commands);
  bool NeedsRun(const Task& task, Millis now) const;
  bool MayBePreempted(const Job& job, const Task& task, const Run& run) const;
  std::vector<PreemptionPolicy::Candidate> PreemptionCandidates(const Vm& vm,
                                                                int priority,
                                                                Millis now);
  /// Stops runs of lower priority, if the job is urgent, and reserves their
  /// place for the task. Returns whether a place is reserved, now or before.
  bool Preempt(const Job& job, const TaskRef& ref, const std::vector<Vm*>& vms,
               Millis now, std::vector<RunCommand>& commands);
  bool KeepsPreemption(const Preemption& preemption, Millis now);
  /// Renews or releases the places that are reserved by preemptions.
  void UpdatePreemptions(Millis now);
  /// Reserves capacity of a VM for a long-running task that was not placed.
  void ReserveCapacityFor(Job& job, const TaskRef& ref,
                          const std::vector<Vm*>& vms, Millis now);
  /// Whether the task has to be tried although others like it have no place.
  bool HasReservedVm(const TaskRef& ref, const StepSpec& spec,
                     Millis now) const;
  /// Moves long-running tasks off draining VMs if they fit on other VMs.
  void PlanEvacuations(const std::vector<Vm*>& vms, Millis now,
                       std::vector<RunCommand>& commands);
  /// Returns false if the run was not stopped.
  bool Evacuate(const Vm& from, const RunKey& key, const std::vector<Vm*>& vms,
                Millis now, std::vector<RunCommand>& commands);
  /// Registers the tasks of a restored job that have several runs.
  void RestoreCopies(Job& job);
  /// Sends copies that are in the journal, and stops runs of tasks that are
  /// done.
  void UpdateCopies(Millis now, std::vector<RunCommand>& commands);
  /// Returns false if nothing is left to be done about the copy.
  bool UpdateCopy(const TaskRef& ref, TaskCopy& copy, Millis now,
                  std::vector<RunCommand>& commands);
  /// Sends the copy's start if the journal lists it, or withdraws the copy.
  void SendCopy(Job& job, const TaskRef& ref, TaskCopy& copy, Millis now,
                std::vector<RunCommand>& commands);
  /// Starts copies of slow tasks if no other task waits.
  void PlanCopies(const std::vector<Vm*>& vms, Millis now);
  std::vector<SlowTask> FindSlowTasks(Millis now) const;
  void AddSlowTasks(Job& job, const Occurrence& occurrence, int step,
                    Millis now, std::vector<SlowTask>& slow_tasks) const;
  void StartCopy(const SlowTask& slow, const std::vector<Vm*>& vms, Millis now);
  /// A VM reports the end of a run of a known task. `run_time`: empty if it is
  /// not known or the run was slowed down.
  void ObserveEndForCopies(const Job& job, Task& task,
                           const EndedRunReport& row,
                           std::optional<Millis> run_time);
  /// The task is done by the run of `row`, which is no longer one of its runs.
  void OnTaskDone(const Job& job, const Task& task, const EndedRunReport& row,
                  Millis now);
  /// Whether a start of the run may take effect, and is not known to have.
  bool MayStartYet(const Run& run) const;
  /// Returns a run with a higher number than `run` that may start yet, or null.
  const Run* RunThatMayStartAfter(const Task& task, int run) const;
  /// A copy of the run's start may take effect on the VM until `until`.
  void NoteLateStart(Vm& vm, const RunKey& key, Millis until);
  /// The run's start that was sent at `sent` was not answered.
  void NoteUnansweredStart(Vm& vm, const RunKey& key, Run& run, Millis sent);
  /// Whether the VM has carried out the only start that was sent.
  static bool IsOnlyCopyExecuted(const Run& run);
  /// The VM executes the run, or has ended it.
  void ForgetExecutedStart(Vm& vm, const RunKey& key, const Run& run);
  /// The run is about to be released. It may not have begun.
  /// `vm_has_answered`: its VM does not list it, or executes no run of before.
  void NoteStartOfReleasedRun(Vm& vm, const RunKey& key, bool vm_has_answered);
  /// Withholds the acknowledgement of the end if the task may be started after
  /// it. `job` and `task` are null if they are not known.
  void HoldEnd(const Vm& vm, const Job* job, const Task* task,
               const EndedRunReport& row, Millis now);
  /// Whether a late start may begin the task after an end that is reported now.
  bool MayStartAfterEnd(const TaskRef& task) const;
  bool MustHold(const HeldEnd& end);
  void ReleaseHeldEnds(Millis now);
  /// The VM has more ends than it lists. Those that are held for late starts
  /// are acknowledged, since the owner can't learn of the others otherwise.
  void ReleaseEndsOfFullList(const Vm& vm, Millis now);
  /// Returns the newest end of the VM, up to `end`, that the journal may name.
  std::int64_t LastEndToRecord(const std::string& vm, std::int64_t end) const;
  static RunCommand MakeStart(const Job& job, const TaskRef& ref,
                              const Run& run);
  void StartTask(Job& job, const TaskRef& ref, const Placement& place,
                 int number, Millis now, std::vector<RunCommand>& commands);
  void PlanRetries(Job& job, Millis now, std::vector<RunCommand>& commands);
  void PlanPaces(std::vector<RunCommand>& commands);
  void StopStalledRuns(Job& job, Millis now);
  void PlanStopsOfEndedJobs(Millis now, std::vector<RunCommand>& commands);
  void PlanStopsOfOrphanedRuns(Millis now, std::vector<RunCommand>& commands);
  /// Returns false, and issues no command, while the journal does not list the
  /// run: a VM reports no run that it is stopping, so a successor could not
  /// know of it.
  bool IssueStop(const TaskRef& ref, Run& run, Millis now,
                 std::vector<RunCommand>& commands);
  /// Notes what was concluded about a run, or about its end `end`, for the log.
  void NoteRun(RunEventKind kind, const Vm& vm, const RunKey& key, Millis now,
               std::int64_t end = 0);
  std::vector<Vm*> AllVms();
  bool CanStartRuns(const Job& job) const;
  /// The turns of active jobs by priority, then by tier, then by the time of
  /// acceptance.
  std::vector<JobTurn> TurnsInSchedulingOrder() const;
  void UpdateTier(Job& job, Millis now);
  /// Sets the order of the jobs that can no longer be in time.
  void RankLateJobs(Millis now);
  static void AddLateTurns(Job& job, std::vector<JobTurn>& turns);
  /// Updates since when nothing of the job runs though a task waits.
  void UpdateIdleTime(Job& job, Millis now);
  std::optional<TaskRef> FirstWaitingTask(const Job& job, bool best_effort,
                                          Millis now) const;
  /// Whether the task comes before all tasks that end: it has run before, here
  /// or in another cell, or has waited for long.
  /// Precondition: the step is long-running.
  bool IsUrgent(const Task& task, Millis now) const;
  /// Starts urgent long-running tasks, or reserves VMs for them. Short tasks
  /// make room within seconds, so that they may not take it from a task that
  /// lasts.
  void PlanLongRunningTasks(const std::vector<Vm*>& vms, Millis now,
                            std::vector<RunCommand>& commands);
  /// Whether a VM that is not reserved for another task will have room for the
  /// task once only long-running tasks are left there.
  bool HasVmForLater(const Job& job, const TaskRef& ref, Millis now) const;
  /// Updates since when the job's long-running tasks have no confirmed run.
  static void UpdateLongRunningWaits(Job& job, Millis now);
  /// Precondition: the task has no confirmed run.
  LongRunningHold HoldOf(const Job& job, const TaskRef& ref, const Task& task,
                         Millis now) const;
  /// Returns the VM that is reserved for the task, or null.
  const Vm* VmReservedFor(const TaskRef& ref, Millis now) const;
  PlacementOptions OptionsFor(const Job& job, const TaskRef& ref,
                              Millis now) const;
  int NextRunNumber(const Job& job, const Task& task) const;

  SchedulerSettings settings_;
  Catalog catalog_;
  JobTierPolicy tier_policy_;
  LateJobOrder late_jobs_;
  PreemptionPolicy preemption_policy_;
  std::map<TaskRef, Preemption> preemptions_;  ///< Those not started yet.
  MovedJobs moved_;
  UnplaceableTasks
      unplaceable_;  ///< Tasks without a place in the present plan.
  CrashPolicy crash_policy_;
  TailController tails_;
  CopyPolicy copy_policy_;
  DataCenterClosures closures_;
  RunTimes run_times_;
  Placer placer_;
  DelegationPolicy delegation_policy_;
  BackfillPolicy backfill_;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<ActiveJobKey, Job*> active_jobs_;
  /// Ended jobs whose runs, if any, have to be stopped.
  std::set<std::string> stopping_jobs_;
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::int64_t worker_generations_ = 0;  ///< Workers seen, of all VMs.
  std::set<std::string> dirty_jobs_;
  bool urgent_changes_ = false;
  std::set<std::string> delegating_jobs_;  ///< Jobs with delegated tasks.
  SentDelegations delegations_sent_;
  DelegationCounts delegation_counts_;
  /// Results of hosts by the journal batch that holds them.
  std::vector<std::pair<std::int64_t, TaskRef>> undurable_results_;
  /// By VM, as recorded by earlier owners.
  std::map<std::string, Millis> recorded_lease_expiries_;
  std::vector<JournalEntry> pending_deletions_;
  /// VMs whose records have to be written, with their newest processed ends.
  std::map<std::string, std::int64_t> dirty_vms_;
  std::int64_t taken_batches_ = 0;
  std::int64_t durable_batches_ = 0;
  /// Runs on VMs that belong to no task and have to be stopped, with the time
  /// of the last stop command.
  std::map<std::pair<std::string, RunKey>, Millis> orphaned_runs_;
  RunEvents run_events_;
  std::vector<VmLoss> vm_losses_;       ///< Not yet taken by TakeVmLosses.
  std::map<TaskRef, TaskCopy> copies_;  ///< Whose runs may be executing.
  std::vector<CopyEvent> copy_events_;  ///< Not yet taken by TakeCopyEvents.
  CopyCounts copy_counts_;
  LateStarts late_starts_;
  /// Starts of earlier owners that may not have been carried out when this one
  /// took over. Their tasks need not wait, but their ends are held.
  LateStarts inherited_starts_;
  HeldEnds held_ends_;
  Millis restored_at_;  ///< When the cell was taken over.
  bool all_vms_reconciled_ = true;
  bool journal_complete_ = false;
  bool starts_held_ = false;
  LeaseAuthority lease_authority_;
  int plan_starts_ = 0;  ///< Of the present plan.
  bool has_more_to_plan_ = false;
  Millis last_check_at_;  ///< Of retries, stalled runs and paces.
  int first_run_number_ = 1;
  std::int64_t wall_ms_ = 0;
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_SCHEDULER_H_
