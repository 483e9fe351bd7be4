#include "cell/cell_owner.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "base/logging.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// Run numbers of each term begin this much above the last term's.
static constexpr int kRunsPerTerm = 16;
static constexpr Millis kDrainCheck(5);

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

std::string CellOwner::LogFields() const {
  return " cell=" + std::to_string(ownership_.cell) +
         " token=" + std::to_string(ownership_.token);
}

void CellOwner::Depose() {
  if (stopped_) return;
  kLog.Warning("event=deposed" + LogFields());
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
  kLog.Info("event=owner_ready" + LogFields() +
            " took_ms=" + std::to_string((Now() - began).count) +
            " jobs=" + std::to_string(scheduler_.ActiveJobs()));
  Wake();
  co_return true;
}

void CellOwner::OnCatalog(const jobs::Catalog& catalog) {
  catalog_ = catalog;
  scheduler_.ApplyCatalog(catalog);
  Wake();
}

void CellOwner::OnVmListed(const jobs::VmListing& listing) {
  const auto known = scheduler_.Listing(listing.id);
  if (listing.draining && !(known && known->draining)) {
    kLog.Info("event=vm_draining vm=" + listing.id + LogFields());
  }
  scheduler_.ListVm(listing, Now());
  if (!ready_ || !driven_.insert(listing.id).second) return;
  net::asio::co_spawn(context_, DriveVm(listing.id), net::asio::detached);
}

void CellOwner::OnPredecessorsGone() {
  predecessors_gone_ = true;
  scheduler_.EndInheritedLeases(Now());
  kLog.Info("event=predecessors_gone" + LogFields());
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
      "event=cell_state" + LogFields() +
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
  scheduler_.Tails().MergePeerRecord(std::to_string(cell), record);
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
