#ifndef BASILSPUR_CELL_CELL_OWNER_H_
#define BASILSPUR_CELL_CELL_OWNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "cell/cell_load.h"
#include "cell/peer_messages.h"
#include "cell/signal.h"
#include "cell/store.h"
#include "cell/vm_client.h"
#include "jobs/scheduler.h"

namespace basilspur::cell {

struct CellOwnerSettings {
  jobs::SchedulerSettings scheduler;
  Millis flush_interval{15};         ///< Between appends to the journal.
  Millis plan_interval{8};           ///< Between plans at least.
  Millis store_stalled{400};         ///< An append without an answer this long.
  Millis idle_wait{2'000};           ///< Of a renewal at a VM without runs.
  Millis busy_wait{1'000};           ///< Of a renewal at a VM with runs.
  Millis mixed_wait{500};            ///< At a VM whose tails are watched.
  Millis summary_interval{2'000};    ///< Between state lines in the log.
  Millis silent_pause{150};          ///< After a renewal without an answer.
  std::size_t call_bytes = 1 << 20;  ///< Of the records in one append.
  Millis moved_check{1'000};         ///< Between looks at jobs that moved.
};

/// One ownership of a cell: carries out what its scheduler decides, writes the
/// journal, renews the VMs' leases, and answers for the cell's jobs.
///
/// Thread safety: only from the thread of its io_context.
class CellOwner : public std::enable_shared_from_this<CellOwner> {
 public:
  struct Ownership {
    int cell = 0;
    std::int64_t token = 0;
    std::int64_t term = 1;
    bool handed_over = false;    ///< The owner before gave the cell up itself.
    bool records_whole = false;  ///< The journal names every run.
    std::vector<jobs::UnreachableVm> silent;  ///< As the owner before has told.
  };

  /// What an owner asks of the entry that it is part of.
  struct Surroundings {
    /// Chooses the cell that takes a new job of this cell.
    std::function<int(int home, const std::string& job,
                      const jobs::JobSpec& spec)>
        choose_cell;
    /// Asks the owner of the request's cell.
    std::function<net::asio::awaitable<JobReply>(JobRequest request)> ask;
  };

  /// `is_fresh` tells whether this node may speak for the cell's unknown jobs;
  /// `on_deposed` is called when another owner has shown itself.
  /// Precondition: the references outlive the object.
  CellOwner(net::asio::io_context& context, Store& store, VmClient& vms,
            const Clock& clock, CellOwnerSettings settings, Ownership ownership,
            Surroundings surroundings, std::function<bool()> is_fresh,
            std::function<void()> on_deposed);

  /// Bars earlier owners from the journal, reads it, and starts work.
  /// Returns false if a later owner was there, or after Stop.
  net::asio::awaitable<bool> TakeOver();

  void OnCatalog(const jobs::Catalog& catalog);
  void OnVmListed(const jobs::VmListing& listing);
  void OnVmGone(const std::string& id);
  /// No owner before acts any more.
  void OnPredecessorsGone();
  /// Looks at what time alone changes. Call every 100 ms or so.
  void Tick();

  net::asio::awaitable<JobReply> Handle(JobRequest request);

  /// Orders nothing more and waits until the journal holds all, at most
  /// `patience`. Returns whether the journal names every run.
  net::asio::awaitable<bool> Drain(Millis patience);
  void Stop();
  bool IsReady() const { return ready_; }
  const jobs::Scheduler& State() const { return scheduler_; }
  /// Goes on from what the last owner of this cell had learned of tails.
  void RestoreTails(const jobs::TailRecord& record);
  /// Takes in what the owner of another cell has learned of tails.
  void LearnTails(int cell, const jobs::TailRecord& record);
  /// The silent VMs to name in a record that is about to be written.
  std::vector<jobs::UnreachableVm> CollectUnreachableVms() {
    return scheduler_.CollectUnreachableVms(Now());
  }
  /// The record that named `told`, and no others, is in force.
  void OnUnreachableVmsRecorded(const std::vector<jobs::UnreachableVm>& told) {
    scheduler_.OnUnreachableVmsRecorded(told);
  }
  /// How full the cell is; its room is 0 until the owner is ready.
  CellLoad Load() const;

 private:
  net::asio::awaitable<bool> BeginEpoch();
  net::asio::awaitable<bool> ReadJournal();
  void RestoreVm(const KeyedRecord& record);
  void RestoreMove(const KeyedRecord& record);
  net::asio::awaitable<void> RunJournal();
  net::asio::awaitable<bool> Append(std::vector<KeyedRecord> records);
  net::asio::awaitable<bool> Write(const jobs::JournalBatch& batch);
  net::asio::awaitable<void> DriveVm(std::string id);
  net::asio::awaitable<bool> RenewOnce(const jobs::VmListing& listing);
  net::asio::awaitable<void> WaitForAcknowledgement(std::string id);
  net::asio::awaitable<void> SendCommand(jobs::RunCommand command);
  net::asio::awaitable<JobReply> Submit(const JobRequest& request);
  /// Takes the job in here or decides that another cell takes it. Returns a
  /// reply if nothing was done.
  std::optional<JobReply> Admit(const JobRequest& request);
  net::asio::awaitable<JobReply> TellMoved(const JobRequest& request);
  net::asio::awaitable<void> CheckMoved();
  net::asio::awaitable<JobReply> Cancel(const JobRequest& request);
  void LogEnds(const std::string& vm, const jobs::VmReport& report) const;
  void LogJobs(const jobs::JournalBatch& batch) const;
  JobReply ShowStatus(const std::string& job) const;
  Millis RenewalWait(const std::string& vm) const;
  void Wake();
  void RunPlan();
  void Depose();
  /// Cell and token, for a line of the log.
  std::string LogFields() const;
  Millis Now() const { return clock_.Monotonic(); }

  net::asio::io_context& context_;
  Store& store_;
  VmClient& vm_client_;
  const Clock& clock_;
  CellOwnerSettings settings_;
  Ownership ownership_;
  Surroundings surroundings_;
  std::function<bool()> is_fresh_;
  std::function<void()> on_deposed_;
  jobs::Scheduler scheduler_;
  jobs::Catalog catalog_;
  Partition journal_;
  Signal dirty_;
  Signal flushed_;
  std::int64_t sequence_ = 0;
  std::optional<Millis> append_began_;
  std::set<std::string> driven_;
  Millis summarized_;
  Millis planned_;
  net::asio::steady_timer plan_timer_;
  Millis moved_checked_;
  bool predecessors_gone_ = false;
  bool plan_posted_ = false;
  bool ready_ = false;
  bool draining_ = false;
  bool stopped_ = false;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_OWNER_H_
