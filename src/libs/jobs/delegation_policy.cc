#include "jobs/delegation_policy.h"

#include <algorithm>

namespace basilspur::jobs {

/// A task that shorter tasks keep out waits for one part in this many of what
/// its job may wait. The rest is for the way to the host, and for a second host
/// if the first one has no room after all.
static constexpr int kWaitDivisor = 2;

bool CellCapacity::HasVms(const std::string& service,
                          const StepSpec& step) const {
  return std::any_of(vms.begin(), vms.end(),
                     [&](const Vm& vm) { return vm.MayHost(service, step); });
}

bool CellCapacity::WillFit(const std::string& service,
                           const StepSpec& step) const {
  const records::Resources charge = step.Charge();
  return std::any_of(vms.begin(), vms.end(), [&](const Vm& vm) {
    return vm.MayHost(service, step) && charge.FitsIn(vm.beside_long_running);
  });
}

std::optional<Millis> DelegationPolicy::DelayOf(
    const StepSpec& spec, const std::string& service,
    const CellCapacity& capacity, std::optional<Millis> max_wait) const {
  if (spec.gang) return std::nullopt;
  if (spec.long_running) return settings_.delegation_delay;
  if (!capacity.HasVms(service, spec)) return settings_.min_delegation_delay;
  // Unused processors and predicted tails change within a second, and new
  // best-effort jobs are spread over the cells by them already.
  if (spec.best_effort) return std::nullopt;
  if (!capacity.WillFit(service, spec)) return settings_.min_delegation_delay;
  if (!max_wait) return settings_.delegation_delay;
  return std::clamp(Millis(max_wait->count / kWaitDivisor),
                    settings_.min_delegation_delay, settings_.delegation_delay);
}

Millis DelegationPolicy::MaxWaitAtHost(const StepSpec& spec) const {
  if (spec.gang) return settings_.max_gang_wait_at_host;
  return spec.best_effort ? settings_.max_wait_at_host
                          : settings_.max_short_wait_at_host;
}

Millis DelegationPolicy::MaxWaitBeforeRecall(const StepSpec& spec) const {
  return spec.gang ? settings_.max_gang_wait_at_host
                   : settings_.max_wait_at_host;
}

}  // namespace basilspur::jobs
