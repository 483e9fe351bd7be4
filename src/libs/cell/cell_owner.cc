#include "cell/cell_owner.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "base/logging.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
static constexpr Millis kAppendRetry(60);
static constexpr Millis kJournalReadRetry(150);
/// Run numbers of each term begin this much above the last term's.
static constexpr int kRunsPerTerm = 16;
static constexpr Millis kDrainCheck(5);

static std::string CellField(const CellOwner::Ownership& ownership) {
  return " cell=" + std::to_string(ownership.cell) +
         " token=" + std::to_string(ownership.token);
}

CellOwner::CellOwner(net::asio::io_context& context, Store& store,
                     VmClient& vms, const Clock& clock,
                     CellOwnerSettings settings, Ownership ownership,
                     Surroundings surroundings, std::function<bool()> is_fresh,
                     std::function<void()> on_deposed)
    : context_(context),
      store_(store),
      vm_client_(vms),
      clock_(clock),
      settings_(settings),
      ownership_(ownership),
      surroundings_(std::move(surroundings)),
      is_fresh_(std::move(is_fresh)),
      on_deposed_(std::move(on_deposed)),
      scheduler_(settings.scheduler),
      journal_{"keyed.jobs", ownership.cell},
      dirty_(context),
      flushed_(context),
      plan_timer_(context) {}

void CellOwner::Stop() {
  stopped_ = true;
  ready_ = false;
  dirty_.NotifyAll();
  flushed_.NotifyAll();
}

void CellOwner::Depose() {
  if (stopped_) return;
  kLog.Warning("event=deposed" + CellField(ownership_));
  Stop();
  on_deposed_();
}

net::asio::awaitable<bool> CellOwner::TakeOver() {
  const auto self = shared_from_this();
  const Millis began = Now();
  if (!co_await BeginEpoch()) co_return false;
  if (!co_await ReadJournal()) co_return false;
  for (const jobs::SilentVm& vm : ownership_.silent) scheduler_.BoundLapse(vm);
  const int first_run =
      static_cast<int>((ownership_.term - 1) * kRunsPerTerm + 1);
  scheduler_.FinishRestore(first_run, Now());
  if (ownership_.records_whole) scheduler_.TrustRecords();
  if (ownership_.handed_over || predecessors_gone_) OnPredecessorsGone();
  ready_ = true;
  net::asio::co_spawn(context_, RunJournal(), net::asio::detached);
  for (const jobs::VmListing& listing : scheduler_.VmsToRenew()) {
    OnVmListed(listing);
  }
  kLog.Info("event=owner_ready" + CellField(ownership_) +
            " took_ms=" + std::to_string((Now() - began).count) +
            " jobs=" + std::to_string(scheduler_.ActiveJobs()));
  Wake();
  co_return true;
}

net::asio::awaitable<bool> CellOwner::BeginEpoch() {
  while (!stopped_) {
    const Producer producer{"owner", ownership_.token, 0};
    const AppendAnswer answer = co_await store_.AppendAs(
        journal_, producer, std::vector<KeyedRecord>());
    if (answer.verdict == AppendVerdict::kAppended) co_return true;
    if (answer.verdict == AppendVerdict::kFenced) {
      Depose();
      co_return false;
    }
    kLog.Warning("event=epoch_retry" + CellField(ownership_) + " reason=\"" +
                 answer.reason + "\"");
    co_await net::Sleep(kAppendRetry);
  }
  co_return false;
}

void CellOwner::RestoreMove(const KeyedRecord& record) {
  const auto decoded = records::Decode<jobs::MoveRecord>(record.value);
  if (IsOk(decoded)) {
    scheduler_.Moved().Restore(record.key.substr(1), ValueOf(decoded).cell,
                               Now());
    return;
  }
  kLog.Error("event=journal_record_unreadable key=" + record.key + " error=\"" +
             ErrorOf(decoded).ToString() + "\"");
}

void CellOwner::RestoreVm(const KeyedRecord& record) {
  const auto decoded = records::Decode<jobs::VmRecord>(record.value);
  if (IsOk(decoded)) {
    scheduler_.RestoreVm(record.key.substr(1), ValueOf(decoded), Now());
    return;
  }
  kLog.Error("event=journal_record_unreadable key=" + record.key + " error=\"" +
             ErrorOf(decoded).ToString() + "\"");
}

net::asio::awaitable<bool> CellOwner::ReadJournal() {
  for (;;) {
    const Result<NewestRecords> read = co_await store_.ReadNewest(journal_);
    if (stopped_) co_return false;
    if (!IsOk(read)) {
      co_await net::Sleep(kJournalReadRetry);
      continue;
    }
    std::map<std::string, jobs::ProgressRecord> progress;
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (record.key.starts_with('v')) RestoreVm(record);
      if (record.key.starts_with('m')) RestoreMove(record);
      if (!record.key.starts_with('p')) continue;
      auto decoded = records::Decode<jobs::ProgressRecord>(record.value);
      if (IsOk(decoded)) progress[record.key.substr(1)] = ValueOf(decoded);
    }
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (!record.key.starts_with('j')) continue;
      const auto decoded = records::Decode<jobs::JobRecord>(record.value);
      if (!IsOk(decoded)) {
        kLog.Error("event=journal_record_unreadable key=" + record.key +
                   " error=\"" + ErrorOf(decoded).ToString() + "\"");
        continue;
      }
      const std::string id = record.key.substr(1);
      const auto found = progress.find(id);
      scheduler_.Restore(
          id, ValueOf(decoded),
          found == progress.end() ? std::nullopt : std::optional(found->second),
          clock_.Wall().count, Now());
    }
    co_return true;
  }
}

void CellOwner::OnCatalog(const jobs::Catalog& catalog) {
  catalog_ = catalog;
  scheduler_.ApplyCatalog(catalog);
  Wake();
}

void CellOwner::OnVmListed(const jobs::VmListing& listing) {
  const auto known = scheduler_.Listing(listing.id);
  if (listing.draining && !(known && known->draining)) {
    kLog.Info("event=vm_draining vm=" + listing.id + CellField(ownership_));
  }
  scheduler_.ListVm(listing, Now());
  if (!ready_ || !driven_.insert(listing.id).second) return;
  net::asio::co_spawn(context_, DriveVm(listing.id), net::asio::detached);
}

void CellOwner::OnPredecessorsGone() {
  predecessors_gone_ = true;
  scheduler_.EndInheritedLeases(Now());
  kLog.Info("event=predecessors_gone" + CellField(ownership_));
}

void CellOwner::OnVmGone(const std::string& id) {
  scheduler_.UnlistVm(id, Now());
}

void CellOwner::Tick() {
  // Callers' patience may be over without anything having been stored.
  flushed_.NotifyAll();
  Wake();
  if (ready_ && Now() - moved_checked_ >= settings_.moved_check) {
    moved_checked_ = Now();
    net::asio::co_spawn(context_, CheckMoved(), net::asio::detached);
  }
  if (!ready_ || Now() - summarized_ < settings_.summary_interval) return;
  summarized_ = Now();
  const jobs::CellSummary summary = scheduler_.Summary(Now());
  kLog.Info(
      "event=cell_state" + CellField(ownership_) +
      " jobs=" + std::to_string(summary.active_jobs) +
      " runs=" + std::to_string(summary.runs) +
      " waiting=" + std::to_string(summary.waiting_tasks) +
      " waiting_long_running=" + std::to_string(summary.waiting_long_running) +
      " waiting_best_effort=" + std::to_string(summary.waiting_best_effort) +
      " free_cpu_millis=" + std::to_string(summary.free_cpu_millis) +
      " unreachable_vms=" + std::to_string(summary.unreachable_vms) +
      " oldest_wait_ms=" + std::to_string(summary.oldest_wait.count));
}

void CellOwner::RestoreTails(const jobs::TailRecord& record) {
  scheduler_.Tails().Restore(record);
}

void CellOwner::LearnTails(int cell, const jobs::TailRecord& record) {
  scheduler_.Tails().LearnFrom(std::to_string(cell), record);
}

CellLoad CellOwner::Load() const {
  if (!ready_) return {};
  const jobs::CellSummary summary = scheduler_.Summary(Now());
  CellLoad load;
  load.room = summary.room_cpu_millis;
  load.charged = summary.room_cpu_millis - summary.free_cpu_millis;
  load.waiting = summary.waiting_cpu_millis;
  load.best_effort = summary.best_effort_cpu_millis;
  return load;
}

void CellOwner::Wake() {
  if (!ready_ || plan_posted_) return;
  plan_posted_ = true;
  // A plan looks at all that waits, so it takes in what came meanwhile.
  const Millis due = planned_ + settings_.plan_interval - Now();
  plan_timer_.expires_after(
      std::chrono::milliseconds(std::max(due.count, std::int64_t{0})));
  plan_timer_.async_wait([self = shared_from_this()](const net::error_code&) {
    self->plan_posted_ = false;
    self->planned_ = self->Now();
    self->RunPlan();
  });
}

void CellOwner::RunPlan() {
  if (!ready_ || stopped_) return;
  if (!draining_) {
    std::vector<jobs::Order> orders =
        scheduler_.Plan(clock_.Wall().count, Now());
    for (jobs::Order& order : orders) {
      net::asio::co_spawn(context_, SendOrder(std::move(order)),
                          net::asio::detached);
    }
  }
  if (scheduler_.HasBatch()) dirty_.NotifyAll();
}

static const char* NameOf(jobs::JobStatus status) {
  switch (status) {
    case jobs::JobStatus::kActive:
      return "active";
    case jobs::JobStatus::kDone:
      return "done";
    case jobs::JobStatus::kFailed:
      return "failed";
    case jobs::JobStatus::kCancelled:
      return "cancelled";
  }
  return "";
}

void CellOwner::LogJobs(const jobs::JournalBatch& batch) const {
  for (const auto& [id, status] : batch.jobs) {
    if (!jobs::IsFinal(status) || scheduler_.IsEnded(id)) continue;
    kLog.Info("event=job_ended job=" + id + " status=" + NameOf(status) +
              CellField(ownership_) + " sequence=" + std::to_string(sequence_) +
              " age_ms=" + std::to_string(scheduler_.AgeOf(id, Now()).count));
  }
}

net::asio::awaitable<void> CellOwner::RunJournal() {
  const auto self = shared_from_this();
  while (!stopped_) {
    if (!scheduler_.HasBatch()) {
      co_await dirty_.Wait();
      continue;
    }
    const jobs::JournalBatch batch = scheduler_.TakeBatch(clock_.Wall().count);
    if (!co_await Write(batch)) co_return;
    LogJobs(batch);
    scheduler_.OnDurable(batch);
    flushed_.NotifyAll();
    Wake();
    co_await net::Sleep(settings_.flush_interval);
  }
}

net::asio::awaitable<bool> CellOwner::Write(const jobs::JournalBatch& batch) {
  std::vector<KeyedRecord> records;
  std::size_t bytes = 0;
  for (const jobs::JournalEntry& entry : batch.entries) {
    const std::size_t size = entry.key.size() + entry.value.size();
    if (!records.empty() && bytes + size > settings_.call_bytes) {
      if (!co_await Append(std::move(records))) co_return false;
      records.clear();
      bytes = 0;
    }
    records.push_back({entry.key, entry.value, 0});
    bytes += size;
  }
  if (records.empty()) co_return true;
  co_return co_await Append(std::move(records));
}

net::asio::awaitable<bool> CellOwner::Append(std::vector<KeyedRecord> records) {
  const Producer producer{"owner", ownership_.token, sequence_};
  append_began_ = Now();
  bool retried = false;
  while (!stopped_) {
    const AppendAnswer answer =
        co_await store_.AppendAs(journal_, producer, records);
    if (answer.verdict == AppendVerdict::kAppended) break;
    if (answer.verdict == AppendVerdict::kFenced) {
      Depose();
      co_return false;
    }
    // The first sending was done after all.
    if (retried && answer.verdict == AppendVerdict::kWrongSequence &&
        answer.expected > sequence_) {
      break;
    }
    kLog.Warning("event=append_retry" + CellField(ownership_) +
                 " sequence=" + std::to_string(sequence_) + " reason=\"" +
                 answer.reason + "\"");
    retried = true;
    co_await net::Sleep(kAppendRetry);
  }
  ++sequence_;
  append_began_.reset();
  co_return !stopped_;
}

net::asio::awaitable<bool> CellOwner::Drain(Millis patience) {
  const auto self = shared_from_this();
  draining_ = true;
  const Millis until = Now() + patience;
  while (!stopped_ && Now() < until) {
    if (!append_began_ && !scheduler_.HasBatch()) {
      co_return ready_&& scheduler_.KnowsAllRuns();
    }
    co_await net::Sleep(kDrainCheck);
  }
  co_return false;
}

}  // namespace basilspur::cell
