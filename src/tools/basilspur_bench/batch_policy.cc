#include "batch_policy.h"

#include <map>
#include <optional>

#include "interference/interference_model.h"
#include "interference/mix_builder.h"
#include "interference/pressure_monitor.h"
#include "interference/profile.h"
#include "placement/interference_scorer.h"

namespace basilspur::bench {

using interference::RunOnVm;
using records::RunRef;

/// Scores a VM by the share of its processors that is in use, so that runs are
/// spread evenly over the VMs.
class SpreadScorer final : public placement::VmScorer {
 public:
  double Score(const state::Job&, const state::Vm& vm,
               const records::Resources& used, Millis) override {
    return interference::CpuShare(used, vm.spec.capacity);
  }
};

/// A baseline that does not react to reports.
template <class Scorer>
class NonReactivePolicy : public BatchPolicy {
 public:
  std::unique_ptr<placement::VmScorer> MakeScorer() override {
    return std::make_unique<Scorer>();
  }
  void OnMix(const std::string&, const std::vector<std::string>&,
             std::span<const RunOnVm>, Millis) override {}
  std::vector<RunRef> OnReport(const BatchSimulator::Report&, Millis) override {
    return {};
  }
  bool IsThrottled(const std::string&, const RunRef&) const override {
    return false;
  }
  std::vector<interference::PairEstimate> TakeChangedEstimates() override {
    return {};
  }
  void MergePeerEstimates(
      const std::string&,
      const std::vector<interference::PairEstimate>&) override {}
};

/// A baseline that evicts the largest run of a VM when the slowdown of its
/// services has exceeded a fixed limit for a minimum time.
class ThresholdEvictionPolicy final
    : public NonReactivePolicy<placement::FirstFitScorer> {
 public:
  void OnMix(const std::string& vm, const std::vector<std::string>&,
             std::span<const RunOnVm> runs, Millis) override {
    runs_[vm].assign(runs.begin(), runs.end());
  }

  std::vector<RunRef> OnReport(const BatchSimulator::Report& report,
                               Millis now) override {
    static constexpr double kSlowdownLimit = 1.6;
    static constexpr Millis kMinTimeOverLimit(10'000);
    std::optional<Millis>& since = over_limit_since_[report.vm];
    if (report.slowdown <= kSlowdownLimit) {
      since.reset();
      return {};
    }
    if (!since) since = now;
    if (*since + kMinTimeOverLimit > now) return {};
    since.reset();
    const RunOnVm* largest = nullptr;
    for (const auto& run : runs_[report.vm]) {
      if (run.exempt) continue;
      if (largest == nullptr || run.share > largest->share) largest = &run;
    }
    if (largest == nullptr) return {};
    return {largest->run};
  }

 private:
  std::map<std::string, std::vector<RunOnVm>> runs_;
  std::map<std::string, std::optional<Millis>> over_limit_since_;
};

/// The policy of the scheduler: places runs by predicted interference, and
/// throttles and evicts them by measured slowdown.
class InterferencePolicy final : public BatchPolicy {
 public:
  explicit InterferencePolicy(const interference::Profile& profile)
      : profile_(profile), monitor_(profile, model_) {}

  std::unique_ptr<placement::VmScorer> MakeScorer() override {
    return std::make_unique<placement::InterferenceScorer>(model_, profile_);
  }

  void OnMix(const std::string& vm, const std::vector<std::string>& services,
             std::span<const RunOnVm> runs, Millis now) override {
    monitor_.OnMix(vm, services, runs, now);
  }

  std::vector<RunRef> OnReport(const BatchSimulator::Report& report,
                               Millis now) override {
    const auto evicted =
        monitor_.OnReport(report.vm, report.slowdown, report.measured_at, now);
    if (!evicted) return {};
    return {*evicted};
  }

  bool IsThrottled(const std::string& vm, const RunRef& run) const override {
    return monitor_.Throttled(vm).contains(run);
  }

  std::vector<interference::PairEstimate> TakeChangedEstimates() override {
    return model_.TakeChangedEstimates(interference::kMaxEstimatesPerExchange);
  }
  void MergePeerEstimates(
      const std::string& peer,
      const std::vector<interference::PairEstimate>& estimates) override {
    model_.MergePeerEstimates(peer, estimates);
  }

 private:
  const interference::Profile& profile_;
  interference::InterferenceModel model_;
  interference::PressureMonitor monitor_;
};

std::unique_ptr<BatchPolicy> MakeBatchPolicy(const std::string& name) {
  if (name == "first-fit") {
    return std::make_unique<NonReactivePolicy<placement::FirstFitScorer>>();
  }
  if (name == "first-fit-evict")
    return std::make_unique<ThresholdEvictionPolicy>();
  if (name == "spread")
    return std::make_unique<NonReactivePolicy<SpreadScorer>>();
  return std::make_unique<InterferencePolicy>(interference::ProfileNamed(name));
}

}  // namespace basilspur::bench
