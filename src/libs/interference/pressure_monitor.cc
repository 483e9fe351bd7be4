#include "interference/pressure_monitor.h"

#include <utility>

namespace basilspur::interference {

PressureMonitor::PressureMonitor(const Profile& profile,
                                 InterferenceModel& model)
    : profile_(profile), model_(model), budget_(profile.evictions_per_minute) {}

void PressureMonitor::OnMix(const std::string& vm,
                            std::vector<std::string> services,
                            std::span<const RunOnVm> runs, Millis now) {
  const auto [found, is_new] =
      controllers_.try_emplace(vm, profile_.pressure, model_, budget_);
  found->second.OnMix(std::move(services), runs, now);
}

std::optional<records::RunRef> PressureMonitor::OnReport(const std::string& vm,
                                                         double slowdown,
                                                         Millis measured_at,
                                                         Millis now) {
  const auto found = controllers_.find(vm);
  if (found == controllers_.end()) return std::nullopt;
  return found->second.OnReport(slowdown, measured_at, now);
}

const std::set<records::RunRef>& PressureMonitor::Throttled(
    const std::string& vm) const {
  static const std::set<records::RunRef> kNone;
  const auto found = controllers_.find(vm);
  return found == controllers_.end() ? kNone : found->second.Throttled();
}

}  // namespace basilspur::interference
