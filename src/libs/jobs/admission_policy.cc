#include "jobs/admission_policy.h"

#include "jobs/step_places.h"

namespace basilspur::jobs {

/// Reading the list takes up to some seconds after a take-over.
static constexpr Millis kMinReading(10'000);
/// New VMs are listed in groups.
static constexpr Millis kStableDuration(5'000);
/// VMs that have left the list come back, or are replaced, within this time.
static constexpr Millis kReplacementTime(30'000);

void AdmissionPolicy::OnListStarted(Millis now) {
  started_at_ = now;
  last_new_vm_ = now;
}

bool AdmissionPolicy::KnowsFleet(Millis now) const {
  return started_at_ && now - *started_at_ >= kMinReading &&
         now - last_new_vm_ >= kStableDuration;
}

std::optional<AdmissionRefusal> AdmissionPolicy::CheckStep(
    const std::string& service, const StepSpec& step, const Vms& vms) {
  bool service_listed = false;
  bool label_listed = false;
  for (const auto& [id, vm] : vms) {
    if (vm.service != service) continue;
    service_listed = true;
    if (!step.required_label.empty() && !vm.HasLabel(step.required_label))
      continue;
    label_listed = true;
    if (step.Charge().FitsIn(vm.capacity)) return std::nullopt;
  }
  if (!service_listed) return std::nullopt;
  return label_listed ? AdmissionRefusal::kTooLarge
                      : AdmissionRefusal::kMissingLabel;
}

bool AdmissionPolicy::MayHoldGang(const std::string& service,
                                  const StepSpec& gang, const Vms& vms) {
  int missing = gang.count;
  for (const auto& [id, vm] : vms) {
    missing -= CountPlaces(vm, service, gang);
    if (missing <= 0) return true;
  }
  return false;
}

void AdmissionPolicy::Count(AdmissionRefusal refusal) {
  switch (refusal) {
    case AdmissionRefusal::kTooLarge:
      ++counters_.too_large;
      return;
    case AdmissionRefusal::kGangTooLarge:
      ++counters_.gang_too_large;
      return;
    case AdmissionRefusal::kMissingLabel:
      ++counters_.missing_label;
      return;
  }
}

std::optional<AdmissionRefusal> AdmissionPolicy::Check(
    const std::string& service, const JobSpec& spec, const Vms& vms,
    Millis now) {
  if (!KnowsFleet(now)) return std::nullopt;
  const bool fleet_is_complete =
      !last_gone_vm_ || now - *last_gone_vm_ >= kReplacementTime;
  for (const StepSpec& step : spec.steps) {
    auto refusal = CheckStep(service, step, vms);
    const bool check_gang = !refusal && step.gang && fleet_is_complete;
    if (check_gang && !MayHoldGang(service, step, vms))
      refusal = AdmissionRefusal::kGangTooLarge;
    if (!refusal) continue;
    Count(*refusal);
    return refusal;
  }
  return std::nullopt;
}

}  // namespace basilspur::jobs
