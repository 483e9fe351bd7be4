#ifndef BASILSPUR_CELL_CELL_OWNER_H_
#define BASILSPUR_CELL_CELL_OWNER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/cell_load.h"
#include "cell/delegation_messages.h"
#include "cell/home_contacts.h"
#include "cell/host_contacts.h"
#include "cell/owner_record.h"
#include "cell/peer_messages.h"
#include "cell/recall_record.h"
#include "cell/signal.h"
#include "cell/store.h"
#include "cell/turn_times.h"
#include "cell/vm_client.h"
#include "jobs/admission_policy.h"
#include "jobs/queue_outlook.h"
#include "jobs/scheduler.h"
#include "net/timer.h"

namespace basilspur::cell {

struct CellOwnerSettings {
  jobs::SchedulerSettings scheduler;
  /// Pause between two appends to the journal.
  Millis journal_flush_interval{15};
  /// The same while nobody waits for the changes to become durable.
  Millis lazy_flush_interval{60};
  /// Shortest time between the beginnings of two scheduling passes, and the
  /// share of the time that slow ones may take. Answers and renewals come
  /// between them.
  Millis min_plan_interval{8};
  int max_plan_time_percent = 50;
  /// Number of commands that are sent before other work has its turn.
  std::size_t max_commands_per_turn = 100;
  /// An append that stays pending for longer makes the owner refuse new jobs.
  Millis store_stall_timeout{400};
  /// How long a VM without runs may hold a renewal open before it answers. A VM
  /// answers earlier when one of its runs ends.
  Millis idle_renewal_wait{2'000};
  /// The same for a VM with runs.
  Millis busy_renewal_wait{1'000};
  /// The same for a VM whose tail latencies are watched, because it runs
  /// best-effort tasks beside tasks with a latency target.
  Millis mixed_renewal_wait{500};
  /// Interval of the "cell_state" and "task_waiting" log lines.
  Millis summary_log_interval{2'000};
  /// Shortest interval of the log lines about runs.
  Millis run_log_interval{250};
  /// Interval of the "long_running_waiting", "vms_awaited" and
  /// "runs_unreported" log lines, the maximum number of tasks at a time, and
  /// how long a task has to be without a run.
  Millis wait_log_interval{1'000};
  std::size_t max_logged_waits = 6;
  Millis min_logged_wait{1'000};
  /// Age from which a report counts as missing in these lines. A VM without
  /// runs may hold a renewal for 2 s.
  Millis missing_report_age{3'000};
  /// The longest of these waits while the renewal of the ownership is overdue,
  /// so that the answers show which VMs are reached: see jobs::LeaseAuthority.
  Millis overdue_renewal_wait{500};
  /// Age of the ownership's last renewal from which the next one is overdue.
  Millis overdue_renewal_age{1'200};
  /// Pause before a renewal that was not answered is repeated.
  Millis renewal_retry_interval{150};
  /// Upper bound of the keys and values in one append, unless a single record
  /// is larger.
  std::size_t max_append_bytes = 1 << 20;
  /// The store refuses an append with a longer record, key and value together
  /// with the length of the key.
  std::size_t max_record_bytes = 1 << 18;
  /// Loads of other cells are up to a second old, so room may be taken.
  int max_delegations_per_tick = 16;
  /// Interval at which hosts are looked for among all VMs for gangs that this
  /// cell can't hold.
  Millis gang_check_interval{500};
  /// Interval at which one job that moved to another cell is looked up there.
  Millis moved_job_check_interval{1'000};
};

/// One ownership of a cell: executes the decisions of the cell's scheduler,
/// writes the journal, renews the VMs' leases and serves requests about the
/// cell's jobs.
///
/// Thread safety: only from the thread of its io_context.
class CellOwner : public std::enable_shared_from_this<CellOwner> {
 public:
  struct Ownership {
    int cell = 0;
    std::int64_t token = 0;
    std::int64_t term = 1;
    /// No earlier owner can still act: the previous one released the cell
    /// itself, or there was none.
    bool handed_over = false;
    /// The journal lists every run that previous owners started.
    bool journal_complete = false;
    /// VMs that the previous owner recorded as unreachable.
    std::vector<jobs::UnreachableVm> unreachable_vms;
    /// VMs that the previous owner did not reach when it released the cell.
    std::vector<jobs::UnreachableVm> unreached_vms;
  };

  /// Services that the entry provides to the owner.
  struct Callbacks {
    /// Chooses the cell that runs a new job whose home is this cell.
    std::function<int(int home_cell, const std::string& job,
                      const std::string& service, const jobs::JobSpec& spec)>
        choose_cell;
    /// Sends a request to the owner of the request's cell.
    std::function<net::asio::awaitable<JobReply>(JobRequest request)>
        forward_request;
    /// Chooses the cell that hosts a task for which this cell has no place.
    std::function<std::optional<int>(
        int home_cell, const records::Resources& need, int excluded)>
        choose_host;
    /// Returns whether another cell publishes room for tasks that end.
    std::function<bool(int home_cell)> has_room_elsewhere;
    /// Like choose_host, for a task that ends.
    std::function<std::optional<int>(
        int home_cell, const records::Resources& need, int excluded)>
        choose_host_of_short_task;
    /// Like choose_host, for a task that requires a label. May be empty: there
    /// is none.
    std::function<std::optional<int>(int home_cell,
                                     const records::Resources& need,
                                     const std::string& label, int excluded)>
        choose_host_with_label;
    /// Chooses the cell that hosts a gang of `service`, all of whose tasks
    /// `step` specifies; empty: it stays, since this cell can hold it or no
    /// other can. May be empty: it always stays.
    std::function<std::optional<int>(int home_cell, const std::string& service,
                                     const jobs::StepSpec& step, int excluded)>
        choose_host_of_gang;
    /// Returns why no listed VM can serve a job; empty: accept it.
    std::function<std::optional<jobs::AdmissionRefusal>(
        const std::string& service, const jobs::JobSpec& spec)>
        check_admission;
    /// Sends a delegation to the owner of the request's cell.
    std::function<net::asio::awaitable<DelegationReply>(
        DelegationRequest request)>
        send_delegation;
    /// Whether starts may be sent, by how old this entry's knowledge is. May be
    /// empty: always.
    std::function<bool()> may_start;
    /// How old it is, as log fields with leading spaces; may be empty.
    std::function<std::string()> knowledge_age;
  };

  /// Connects the owner with the election of its cell.
  struct Standing {
    /// Returns whether this ownership was renewed recently enough to report
    /// that a job does not exist.
    std::function<bool()> is_authoritative;
    /// Returns whether this ownership was confirmed recently enough to send
    /// commands and renewals to VMs: successors count on its leases being over
    /// by a time.
    std::function<bool()> may_act;
    /// When no other node had claimed the cell yet.
    std::function<Millis()> confirmed_at;
    /// When the newest stored renewal of this ownership, or its claim, was
    /// sent.
    std::function<Millis()> renewed_at;
    /// Number of earlier owners that have not confirmed that they have stopped.
    std::function<std::size_t()> active_predecessors;
    /// Called when none of them extends leases any more.
    std::function<void()> on_predecessors_stopped;
    /// Called when the owner has stopped itself, because `may_act` returned
    /// false, or the store or a VM has rejected its fencing token as outdated.
    std::function<void()> on_ended;
  };

  /// Precondition: the references outlive the object.
  CellOwner(net::asio::io_context& context, Store& store, VmClient& vms,
            const Clock& clock, CellOwnerSettings settings, Ownership ownership,
            Callbacks callbacks, Standing standing);

  /// Fences earlier owners off the journal, restores the cell's state from it
  /// and starts scheduling. If that fails unexpectedly, the ownership ends.
  void Start();

  void OnCatalog(const jobs::Catalog& catalog);
  void OnClosures(const jobs::DataCenterClosures& closures);
  void OnVmListed(const jobs::VmListing& listing);
  void OnVmUnlisted(const std::string& id);
  /// All previous owners have stopped and send no more renewals or commands.
  void OnPredecessorsStopped();
  /// Performs the work that depends on time alone. Call about every 100 ms.
  void Tick();

  net::asio::awaitable<JobReply> Handle(JobRequest request);
  /// Serves another cell that delegates tasks to this one. Answers once there
  /// is news of them, or after the time that the delegation allows.
  net::asio::awaitable<DelegationReply> HandleDelegation(
      jobs::Delegation delegation);

  /// Accepts no jobs, cancels, delegations or VM reports from now on; their
  /// senders repeat them to the next owner. Leases are still renewed. Waits up
  /// to `timeout` until the journal holds all changes made so far, and returns
  /// whether it then lists every run. An owner that is not ready has changed
  /// nothing, and returns at once whether its predecessor left it complete.
  net::asio::awaitable<bool> Drain(Millis timeout);
  void Stop();
  bool IsReady() const { return ready_; }
  /// Whether runs are held until the ownership is confirmed again.
  bool AwaitsConfirmation() const {
    return ready_ && scheduler_.AwaitsConfirmation(Now());
  }
  const jobs::Scheduler& SchedulerState() const { return scheduler_; }
  /// Restores the tail-latency estimates of this cell's previous owner.
  void RestoreTails(const jobs::TailRecord& record);
  /// Merges the tail-latency estimates of another cell's owner.
  void MergeTails(int cell, const jobs::TailRecord& record);
  /// Returns the unreachable VMs to list in an owner record that is about to be
  /// written. Their leases are not extended until a record that omits them is
  /// in force. An owner that is not ready does not know the VMs' leases yet, so
  /// it repeats what the previous owner recorded.
  std::vector<jobs::UnreachableVm> CollectUnreachableVms();
  /// Returns the unreachable VMs that CollectUnreachableVms leaves out, for the
  /// record that releases the cell.
  std::vector<jobs::UnreachableVm> UnreachedVms() const;
  /// The owner record that lists exactly the VMs in `recorded` is in force.
  void OnUnreachableVmsRecorded(
      const std::vector<jobs::UnreachableVm>& recorded) {
    scheduler_.OnUnreachableVmsRecorded(recorded);
  }
  /// Returns the recalls to write with a renewal of the ownership; empty: those
  /// in the store are up to date.
  std::optional<RecallRecord> CollectRecalls();
  /// The record is in the store.
  void OnRecallsRecorded(const RecallRecord& recorded) {
    recalls_are_clear_ = recorded.jobs.empty();
  }
  /// The cell's load; its capacity is 0 until the owner is ready.
  CellLoad Load() const;

 private:
  /// Ends early if a later owner has fenced this one, or after Stop().
  net::asio::awaitable<void> TakeOver();
  /// Something that the ownership does not work without has failed. Ends it, so
  /// that an owner restores the cell from the journal.
  void HandleFailure();
  void StartRenewals(const std::string& id, Millis delay = Millis(0));
  net::asio::awaitable<bool> BeginEpoch();
  net::asio::awaitable<bool> ReadJournal();
  void RestoreVm(const KeyedRecord& record);
  void RestoreMovedJob(const KeyedRecord& record);
  net::asio::awaitable<void> RunJournalWriter();
  net::asio::awaitable<bool> AppendToJournal(std::vector<KeyedRecord> records);
  /// Removes the records that the store does not take, and what the batch would
  /// make durable by them. Else no record of the cell could be written any
  /// more.
  void LeaveOutLongRecords(jobs::JournalBatch& batch) const;
  net::asio::awaitable<bool> WriteBatch(const jobs::JournalBatch& batch);
  net::asio::awaitable<void> RunRenewals(std::string id, Millis delay);
  net::asio::awaitable<bool> RenewOnce(const jobs::VmListing& listing);
  /// Returns the fencing token for calls to the VM. It is higher than that of
  /// earlier owners, and rises when the VM's worker starts again.
  std::int64_t FencingTokenFor(const std::string& vm) const;
  /// Whether a worker has answered that has started since the last report.
  bool IsOfOtherWorker(const std::string& vm,
                       const RenewalAnswer& answer) const;
  /// A renewal of the VM's lease was not answered.
  void HandleOutage(const std::string& vm, jobs::VmOutage outage);
  void LogVmLosses();
  /// Logs what was concluded about runs since the last call.
  void LogRunEvents();
  void LogRestoredJobs() const;
  /// Logs which runs count as executing although no recent report names them,
  /// and what this owner waits for.
  void LogAwaitedRuns() const;
  void LogCopies();
  void LogPreemptions();
  net::asio::awaitable<void> WaitForDurableEnds(std::string id);
  net::asio::awaitable<void> SendCommand(jobs::RunCommand command);
  /// Whether a start must not be sent any more. Logs why.
  bool IsWithdrawn(const jobs::RunCommand& command);
  net::asio::awaitable<JobReply> Submit(const JobRequest& request);
  /// Adds the job to this cell or assigns it to another one. Returns the reply
  /// if the request was rejected without any change.
  std::optional<JobReply> Admit(const JobRequest& request);
  /// Returns the refusal of a job that no listed VM can serve.
  std::optional<JobReply> RefuseUnservable(const JobRequest& request,
                                           const std::string& service) const;
  net::asio::awaitable<JobReply> ReplyMoved(const JobRequest& request);
  net::asio::awaitable<void> CheckMovedJob(std::shared_ptr<CellOwner> self);
  /// Delegates tasks that wait for a place, and sends the hosts their
  /// delegations.
  void SyncDelegations();
  void DelegateShortTasks();
  void DelegateGangs();
  using HostChoice = std::function<std::optional<int>(
      int home_cell, const records::Resources& need, int excluded)>;
  /// Returns the host for a task, as chosen by `choose_without_label` or, if
  /// it requires a label, by Callbacks::choose_host_with_label.
  std::optional<int> ChooseHost(const HostChoice& choose_without_label,
                                const jobs::TaskRef& ref,
                                const records::Resources& need,
                                int avoided) const;
  /// Call when delegations may have become due.
  void SendDueDelegations();
  net::asio::awaitable<void> SendDelegation(std::shared_ptr<CellOwner> self,
                                            DelegationRequest request);
  /// Reads the recalls of home cells that are not heard of.
  void CheckHomes();
  net::asio::awaitable<void> ReadRecalls(std::shared_ptr<CellOwner> self,
                                         std::vector<int> homes);
  void ApplyRecalls(int home, const KeyedRecord& record);
  /// The home cell has recalled tasks, whose runs are to be stopped.
  void LogRecall(const jobs::Delegation& delegation, int recalls) const;
  /// No delegation to the host cell was served.
  void LogSilentHost(int host, const std::string& job, bool recalls);
  net::asio::awaitable<JobReply> Cancel(const JobRequest& request);
  /// Logs the report if the VM's worker is not the one known so far.
  void LogWorkerStart(const std::string& vm,
                      const jobs::VmReport& report) const;
  /// Logs that a worker that has started again is fenced, and what lease it may
  /// hold.
  void LogFencedWorker(const std::string& vm) const;
  void LogRunEnds(const std::string& vm, const jobs::VmReport& report) const;
  /// Logs a command that was not confirmed, and each stop.
  void LogCommand(const jobs::RunCommand& command,
                  jobs::RunCommandOutcome outcome, Millis took) const;
  void LogJobEnds(const jobs::JournalBatch& batch);
  JobReply StatusOf(const std::string& job) const;
  Millis RenewalWait(const std::string& vm) const;
  Millis RenewalWaitFor(jobs::VmLoad load) const;
  void SchedulePlan();
  void NotifyJournalWriter();
  void RunPlan();
  /// Sends commands that wait in `outgoing_`, and goes on with the others after
  /// other work that is due.
  void SendOutgoing();
  /// Whether what this entry knows of the VMs and of the operators' orders is
  /// new enough for starts. Logs a change.
  bool CheckMayStart();
  void HandleFenced();
  /// Returns whether a call may be sent to a VM now. Stops the owner if its
  /// ownership has expired.
  bool CheckMayAct();
  /// Bounds the leases of a predecessor that does not answer, once most VMs
  /// have answered this owner.
  void BoundSilentPredecessor();
  /// Passes on to the scheduler when the ownership was last confirmed.
  void ConfirmOwnership();
  /// The cell and the fencing token as log fields, with a leading space.
  std::string LogFields() const;
  /// Counts a turn that began at `began`, and logs it if it was slow.
  void EndTurn(OwnerTurn turn, Millis began, const std::string& fields);
  /// Logs what holds the next starts of long-running tasks without a run.
  void LogLongRunningWaits();
  /// Logs why a task of the job that has waited longest has no place.
  void LogOldestWaitingTask(bool best_effort) const;
  Millis Now() const { return clock_.Monotonic(); }

  net::asio::io_context& context_;
  Store& store_;
  VmClient& vm_client_;
  const Clock& clock_;
  CellOwnerSettings settings_;
  Ownership ownership_;
  Callbacks callbacks_;
  Standing standing_;
  jobs::Scheduler scheduler_;
  jobs::QueueOutlook queue_outlook_;
  jobs::Catalog catalog_;
  Partition journal_;
  /// Notified when changes that have to be written at once wait for the
  /// journal, or any changes while the writer is idle.
  Signal batch_pending_;
  bool writer_idle_ = false;
  Millis last_append_;
  Signal batch_durable_;  ///< Notified when a batch became durable.
  std::int64_t sequence_ = 0;
  std::optional<Millis> append_started_;  ///< Set while an append is pending.
  std::set<std::string> renewing_vms_;    ///< VMs with a running renewal loop.
  Millis last_summary_log_;
  Millis last_run_log_;
  Millis last_wait_log_;
  Millis last_plan_;
  Millis last_plan_took_;
  /// Commands of the last plans that have not been sent yet.
  std::deque<jobs::RunCommand> outgoing_;
  bool sending_outgoing_ = false;
  TurnTimes turn_times_;
  net::Timer plan_timer_;
  Millis last_moved_job_check_;
  Millis last_gang_check_;
  HostContacts host_contacts_;
  HomeContacts home_contacts_;
  std::string last_listed_recall_;  ///< Last job of the newest recall record.
  /// The store holds no recalls of this cell; false: it may, also such of
  /// earlier owners.
  bool recalls_are_clear_ = false;
  bool reading_recalls_ = false;
  bool predecessors_stopped_ = false;
  /// When a predecessor that does not answer extends no lease any more.
  std::optional<Millis> predecessor_stops_by_;
  bool plan_scheduled_ = false;
  bool ready_ = false;
  bool draining_ = false;
  bool starts_held_ = false;
  bool stopped_ = false;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_OWNER_H_
