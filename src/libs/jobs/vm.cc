#include "jobs/vm.h"

#include <algorithm>

namespace basilspur::jobs {

/// Assumed upper bounds for how much a VM's clock is slow: 2% of the elapsed
/// time, and a constant margin for rounding.
static constexpr std::int64_t kMaxClockDriftPercent = 2;
static constexpr Millis kLeaseExpiryMargin(100);

RunOnVm MakeRunOnVm(const StepSpec& spec) {
  RunOnVm run;
  run.charge = spec.Charge();
  run.best_effort_cpu_millis = spec.best_effort ? spec.need.cpu_millis : 0;
  run.tail_target_ms = spec.tail_target_ms;
  run.image = spec.image;
  run.long_running = spec.long_running;
  return run;
}

static std::tuple<std::string, int, int> StepOf(const TaskRef& task) {
  return {task.job, task.occurrence, task.step};
}

Vm::Vm(VmListing listing) : listing(std::move(listing)) {}

std::optional<std::int64_t> Vm::LeaseDeadline(Millis lease, Millis now) const {
  if (!clock_.known) return std::nullopt;
  // Successors allow for a slow clock during the lease only, and not since the
  // clock was read.
  const std::int64_t elapsed =
      (now - clock_.read_at).count * (100 - kMaxClockDriftPercent) / 100;
  return clock_.time_ms + elapsed + lease.count;
}

void Vm::Inherit(Millis lease_expiry) {
  inherited = true;
  reconciled = false;
  inherited_lease_expiry_ = lease_expiry;
}

void Vm::BoundInheritedLease(Millis lease_expiry) {
  if (lease_expiry < inherited_lease_expiry_)
    inherited_lease_expiry_ = lease_expiry;
}

void Vm::BoundLongLease(Millis lease_expiry) {
  long_lease_until = std::min(long_lease_until, lease_expiry);
}

void Vm::TakeOverLongLease(Millis now) {
  if (long_lease_until > now)
    RecordLeaseDeadline(clock_.time_ms + (long_lease_until - now).count);
}

Millis Vm::MaxDurationOf(Millis lease) {
  return Millis(lease.count * 100 / (100 - kMaxClockDriftPercent)) +
         kLeaseExpiryMargin;
}

void Vm::RecordLeaseDeadline(std::int64_t deadline_ms) {
  clock_.max_deadline_ms = std::max(clock_.max_deadline_ms, deadline_ms);
}

bool Vm::UpdateClock(std::int64_t clock_ms, Millis sent, Millis now) {
  const std::int64_t on_arrival = clock_ms - (now - sent).count;
  const bool lease_expired = clock_.known && clock_.max_deadline_ms > 0 &&
                             on_arrival > clock_.max_deadline_ms;
  clock_.known = true;
  if (clock_ms >= clock_.time_ms) {
    clock_.time_ms = clock_ms;
    clock_.read_at = now;
  }
  return lease_expired;
}

void Vm::UpdateListed() {
  const bool either_unknown =
      listing.worker_start_ms == 0 || worker_start_ms == 0;
  listed = has_entry_ &&
           (either_unknown || listing.worker_start_ms == worker_start_ms);
}

void Vm::SetListing(const VmListing& entry, Millis now) {
  if (entry.address != listing.address) {
    address_changed_at = now;
    answered_at_address = false;
  }
  listing = entry;
  SetListed(true);
}

bool Vm::IsPresentCall(Millis sent) const {
  const bool to_present_address =
      address_changed_at == Millis(0) || sent > address_changed_at;
  return to_present_address && sent >= reported_at;
}

void Vm::SetListed(bool has_entry) {
  has_entry_ = has_entry;
  UpdateListed();
}

void Vm::SetWorkerStart(std::int64_t start_ms) {
  worker_start_ms = start_ms;
  UpdateListed();
}

void Vm::ReplaceWorker(std::int64_t start_ms, std::int64_t clock_ms,
                       Millis max_lease, Millis now) {
  static_cast<VmWorker&>(*this) = VmWorker();
  known_since = now;
  clock_ = {/*known=*/true, clock_ms, now, clock_ms + max_lease.count};
  is_fenced = false;
  tail_predictions.clear();
  SetWorkerStart(start_ms);
}

void Vm::OnFenced(Millis max_lease) {
  is_fenced = true;
  RecordLeaseDeadline(clock_.time_ms + max_lease.count);
}

Millis Vm::LatestLeaseExpiry() const {
  // Until this owner has set a deadline, that of an earlier owner applies.
  const bool is_inherited = !clock_.known || clock_.max_deadline_ms == 0;
  const Millis expiry =
      is_inherited
          ? inherited_lease_expiry_
          : clock_.read_at +
                MaxDurationOf(Millis(clock_.max_deadline_ms - clock_.time_ms));
  return std::max(expiry, long_lease_until);
}

records::Resources Vm::Free() const {
  if (unknown_run_count_ > 0) return {};
  return listing.capacity - used_;
}

void Vm::Add(const RunKey& key, const RunOnVm& run) {
  if (!runs_.emplace(key, run).second) return;
  ++runs_by_step_[StepOf(key.first)];
  tail_predictions.clear();
  if (run.needs_unknown) ++unknown_run_count_;
  used_ = used_ + run.charge;
  best_effort_cpu_millis_ += run.best_effort_cpu_millis;
  if (run.tail_target_ms <= 0) return;
  ++serving_run_count_;
  serving_cpu_millis_ += run.charge.cpu_millis;
}

void Vm::Remove(const RunKey& key) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  if (isolation && isolation->run == key) isolation.reset();
  tail_predictions.clear();
  used_ = used_ - found->second.charge;
  best_effort_cpu_millis_ -= found->second.best_effort_cpu_millis;
  if (found->second.needs_unknown) --unknown_run_count_;
  if (found->second.tail_target_ms > 0) {
    --serving_run_count_;
    serving_cpu_millis_ -= found->second.charge.cpu_millis;
  }
  runs_.erase(found);
  const auto step = runs_by_step_.find(StepOf(key.first));
  if (--step->second == 0) runs_by_step_.erase(step);
}

int Vm::CountRunsOfStep(const TaskRef& task) const {
  const auto found =
      runs_by_step_.find(std::tie(task.job, task.occurrence, task.step));
  return found == runs_by_step_.end() ? 0 : found->second;
}

const Reservation* Vm::ReservationOfOther(const TaskRef& task,
                                          Millis now) const {
  if (!reservation || now >= reservation->until) return nullptr;
  return reservation->task == task ? nullptr : &*reservation;
}

records::Resources Vm::CapacityBesideLongRunning() const {
  records::Resources capacity = listing.capacity;
  for (const auto& [key, run] : runs_) {
    if (run.long_running) capacity = capacity - run.charge;
  }
  return capacity;
}

bool Vm::HasReliefRun() const {
  return std::any_of(runs_.begin(), runs_.end(),
                     [](const auto& entry) { return entry.second.relief; });
}

RunOnVm* Vm::FindRun(const RunKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

}  // namespace basilspur::jobs
