#include "jobs/vm.h"

#include <algorithm>

namespace basilspur::jobs {

/// A VM's clock may be this much slow: 2% of the time, and a rounding.
static constexpr std::int64_t kDriftPercent = 2;
static constexpr Millis kLapseMargin(100);

RunOnVm MakeRunOnVm(const StepSpec& spec) {
  RunOnVm run;
  run.charge = spec.Charge();
  run.best_effort_cpu = spec.best_effort ? spec.need.cpu_millis : 0;
  run.tail_target_ms = spec.tail_target_ms;
  run.image = spec.image;
  run.long_running = spec.long_running;
  return run;
}

Vm::Vm(VmListing listing, Millis lapse)
    : listing(std::move(listing)), inherited_lapse_(lapse) {}

std::optional<std::int64_t> Vm::DeadlineFor(Millis lease, Millis now) const {
  if (!clock_known_) return std::nullopt;
  return clock_ms_ + (now - clock_at_ + lease).count;
}

void Vm::BoundInheritedLease(Millis lapse) {
  if (lapse < inherited_lapse_) inherited_lapse_ = lapse;
}

void Vm::NoteDeadline(std::int64_t deadline_ms) {
  max_deadline_ms_ = std::max(max_deadline_ms_, deadline_ms);
}

bool Vm::NoteClock(std::int64_t clock_ms, Millis sent, Millis now) {
  const std::int64_t on_arrival = clock_ms - (now - sent).count;
  const bool lapsed =
      clock_known_ && max_deadline_ms_ > 0 && on_arrival > max_deadline_ms_;
  clock_known_ = true;
  if (clock_ms >= clock_ms_) {
    clock_ms_ = clock_ms;
    clock_at_ = now;
  }
  return lapsed;
}

Millis Vm::LapseAt() const {
  // As long as this owner has set no deadline, an earlier one's holds.
  if (!clock_known_ || max_deadline_ms_ == 0) return inherited_lapse_;
  const std::int64_t left = max_deadline_ms_ - clock_ms_;
  return clock_at_ + Millis(left * 100 / (100 - kDriftPercent)) + kLapseMargin;
}

void Vm::Add(const RunKey& key, const RunOnVm& run) {
  if (!runs_.emplace(key, run).second) return;
  tail_lines.clear();
  used_ = used_ + run.charge;
  best_effort_cpu_ += run.best_effort_cpu;
  if (run.tail_target_ms <= 0) return;
  ++serving_;
  serving_cpu_ += run.charge.cpu_millis;
}

void Vm::Remove(const RunKey& key) {
  const auto found = runs_.find(key);
  if (found == runs_.end()) return;
  tail_lines.clear();
  used_ = used_ - found->second.charge;
  best_effort_cpu_ -= found->second.best_effort_cpu;
  if (found->second.tail_target_ms > 0) {
    --serving_;
    serving_cpu_ -= found->second.charge.cpu_millis;
  }
  runs_.erase(found);
}

void Vm::Clear() {
  runs_.clear();
  tail_lines.clear();
  used_ = {};
  best_effort_cpu_ = 0;
  serving_ = 0;
  serving_cpu_ = 0;
}

const Reservation* Vm::ReservationOfOther(const TaskRef& task,
                                          Millis now) const {
  if (!reservation || now >= reservation->until) return nullptr;
  return reservation->task == task ? nullptr : &*reservation;
}

records::Resources Vm::RoomBesideLongRunning() const {
  records::Resources room = listing.room;
  for (const auto& [key, run] : runs_) {
    if (run.long_running) room = room - run.charge;
  }
  return room;
}

RunOnVm* Vm::FindRun(const RunKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

}  // namespace basilspur::jobs
