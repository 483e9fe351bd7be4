#include "jobs/tail_controller.h"

#include <algorithm>

namespace basilspur::jobs {

using interference::Mix;

/// Variance of the ratio of a measured tail latency to its baseline. It is
/// large because a tail latency measured over half a second is imprecise.
static constexpr double kTailMeasurementVariance = 0.3;
/// Assumed baseline of an image that has not been measured yet, as a share of
/// the target.
static constexpr double kDefaultBaselineShare = 0.4;
/// Number of measurements in a baseline's mean, after which old measurements
/// lose weight exponentially. Load changes a tail latency by half within
/// seconds, so the mean needs many measurements.
static constexpr int kMaxBaselineMeasurements = 300;
/// Number of measurements whose weight the assumed baseline has in the mean.
static constexpr int kDefaultBaselineMeasurements = 20;
/// A measured tail latency updates the baseline only if best-effort runs are
/// predicted to raise it by less than this share.
static constexpr double kMaxBaselineSlowdown = 0.15;
/// Best-effort runs with less than this share of a VM's processors are assumed
/// not to affect tail latencies.
static constexpr double kNegligibleCpuShare = 0.005;
/// Weights with a higher variance are too uncertain to be exported.
static constexpr double kMaxExportedVariance = 2.0;
static constexpr double kPercent = 100;
static constexpr double kMicrosPerMilli = 1'000;
/// A run whose full speed adds less than this share of the target to each tail
/// latency can be placed on any VM where no tail latency exceeds its target.
static constexpr double kNegligibleTargetShare = 0.02;
/// Throttling multiplies a run's pace by this factor.
static constexpr double kThrottleFactor = 0.4;
/// A run that would be throttled below this pace is paused.
static constexpr int kMinThrottledPacePercent = 15;
/// Minimum increase in percentage points; a smaller one is not worth a command.
static constexpr int kMinPaceIncreasePercent = 10;
/// Share of a measured slowdown that a best-effort run must contribute to be
/// throttled.
static constexpr double kMinThrottledContribution = 0.15;

TailController::TailController(TailControllerSettings settings)
    : settings_(settings), model_(kTailMeasurementVariance) {}

double TailController::BaselineMs(const std::string& image,
                                  std::int64_t target_ms) const {
  const auto found = baselines_.find(image);
  if (found != baselines_.end()) return found->second.mean_ms;
  return kDefaultBaselineShare * static_cast<double>(target_ms);
}

void TailController::UpdateBaseline(const RunOnVm& run, double baseline_ms) {
  const auto target = static_cast<double>(run.tail_target_ms);
  const auto [found, is_new] = baselines_.try_emplace(run.image);
  Baseline& baseline = found->second;
  if (is_new)
    baseline = {kDefaultBaselineShare * target, kDefaultBaselineMeasurements};
  baseline.measurements =
      std::min(baseline.measurements + 1, kMaxBaselineMeasurements);
  baseline.mean_ms += (std::min(baseline_ms, target) - baseline.mean_ms) /
                      static_cast<double>(baseline.measurements);
}

/// Returns the shares of the VM's processors that best-effort images use,
/// either as measured or as expected from their paces.
static std::map<std::string, double> SharesOf(const Vm& vm, bool measured) {
  std::map<std::string, double> shares;
  const auto capacity = static_cast<double>(vm.listing.capacity.cpu_millis);
  for (const auto& [key, run] : vm.Runs()) {
    if (run.best_effort_cpu_millis == 0 || capacity <= 0) continue;
    const double expected_cpu_millis =
        static_cast<double>(run.best_effort_cpu_millis) * run.pace_percent /
        100;
    const double used_cpu_millis =
        measured ? static_cast<double>(run.measurement) : expected_cpu_millis;
    shares[run.image] += used_cpu_millis / capacity;
  }
  return shares;
}

void TailController::Observe(Vm& vm, Millis now) {
  if (vm.ServingRunCount() == 0) return;
  if (now - vm.tails_observed_at < settings_.min_observation_interval) return;
  vm.tails_observed_at = now;
  vm.tail_predictions.clear();
  Mix mix;
  mix.shares = SharesOf(vm, /*measured=*/true);
  double total_share = 0;
  for (const auto& [image, share] : mix.shares) total_share += share;
  for (const auto& [key, entry] : vm.Runs()) {
    RunOnVm& run = *vm.FindRun(key);
    if (run.tail_target_ms <= 0 || run.measurement <= 0) continue;
    const auto tail = static_cast<double>(run.measurement);
    const bool is_over_target = run.measurement > run.tail_target_ms;
    if (!is_over_target) run.over_target_since = Millis(0);
    if (is_over_target && run.over_target_since == Millis(0))
      run.over_target_since = now;
    mix.services.assign(1, run.image);
    const double slowdown = model_.Predict(mix);
    if (slowdown - 1 < kMaxBaselineSlowdown)
      UpdateBaseline(run, tail / slowdown);
    if (total_share < kNegligibleCpuShare) continue;
    model_.Observe(mix, tail / BaselineMs(run.image, run.tail_target_ms));
  }
}

std::vector<TailPrediction> TailController::PredictTails(
    const Vm& vm, const std::string& image) const {
  Mix mix;
  mix.shares = SharesOf(vm, /*measured=*/false);
  std::map<std::string, TailPrediction> predictions;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.tail_target_ms <= 0) continue;
    const auto [found, is_new] = predictions.try_emplace(run.image);
    if (!is_new) continue;
    mix.services.assign(1, run.image);
    const double baseline = BaselineMs(run.image, run.tail_target_ms) /
                            static_cast<double>(run.tail_target_ms);
    const double millicore =
        1.0 / static_cast<double>(vm.listing.capacity.cpu_millis);
    found->second.current_target_share = baseline * model_.Predict(mix);
    found->second.target_share_per_millicore =
        baseline * model_.Contribution(mix, image, millicore);
  }
  std::vector<TailPrediction> all;
  for (const auto& [serving_image, prediction] : predictions)
    all.push_back(prediction);
  return all;
}

TailRecord TailController::MakeRecord() const {
  TailRecord record;
  for (const auto& estimate : model_.OwnEstimates()) {
    if (estimate.variance > kMaxExportedVariance) continue;
    record.pairs.push_back(
        {estimate.service, estimate.kind,
         static_cast<std::int64_t>(estimate.weight * kPercent),
         static_cast<std::int64_t>(estimate.variance * kPercent) + 1});
  }
  for (const auto& [image, baseline] : baselines_) {
    record.baselines.push_back(
        {image, static_cast<std::int64_t>(baseline.mean_ms * kMicrosPerMilli),
         baseline.measurements});
  }
  return record;
}

static std::vector<interference::PairEstimate> EstimatesOf(
    const TailRecord& record) {
  std::vector<interference::PairEstimate> estimates;
  for (const TailPairRecord& pair : record.pairs) {
    estimates.push_back(
        {pair.serving_image, pair.image,
         static_cast<double>(pair.weight_percent) / kPercent,
         static_cast<double>(pair.variance_percent) / kPercent});
  }
  return estimates;
}

void TailController::Restore(const TailRecord& record) {
  model_.Restore(EstimatesOf(record));
  MergeBaselines(record);
}

void TailController::MergePeerRecord(const std::string& cell,
                                     const TailRecord& record) {
  model_.MergePeerEstimates(cell, EstimatesOf(record));
  MergeBaselines(record);
}

void TailController::MergeBaselines(const TailRecord& record) {
  for (const TailBaselineRecord& received : record.baselines) {
    Baseline& baseline = baselines_[received.image];
    if (baseline.measurements >= received.measurements) continue;
    baseline.mean_ms = static_cast<double>(received.mean_us) / kMicrosPerMilli;
    baseline.measurements = received.measurements;
  }
}

const std::vector<TailPrediction>& TailController::PredictionsFor(
    const Vm& vm, const std::string& image) const {
  auto found = vm.tail_predictions.find(image);
  if (found == vm.tail_predictions.end()) {
    found = vm.tail_predictions.emplace(image, PredictTails(vm, image)).first;
  }
  return found->second;
}

/// Returns a run's measured tail latency as a share of its target.
static double MeasuredShareOf(const RunOnVm& run) {
  if (run.tail_target_ms <= 0) return 0;
  return static_cast<double>(run.measurement) /
         static_cast<double>(run.tail_target_ms);
}

std::optional<double> TailController::HighestTargetShareWith(
    const Vm& vm, const std::string& image, std::int64_t cpu_millis) const {
  double measured = 0;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.over_target_since != Millis(0)) return std::nullopt;
    measured = std::max(measured, MeasuredShareOf(run));
  }
  double current = measured;
  double increase = 0;
  for (const TailPrediction& prediction : PredictionsFor(vm, image)) {
    current = std::max(current, prediction.current_target_share);
    increase = std::max(increase, prediction.target_share_per_millicore *
                                      static_cast<double>(cpu_millis));
  }
  if (current > settings_.throttle_above_share) return std::nullopt;
  return current + increase;
}

int TailController::MaxPacePercent(const Vm& vm, const std::string& image,
                                   std::int64_t cpu_millis) const {
  if (vm.ServingRunCount() == 0) return 100;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.over_target_since != Millis(0)) return 0;
  }
  double pace_percent = 100;
  for (const TailPrediction& prediction : PredictionsFor(vm, image)) {
    const double full_increase =
        prediction.target_share_per_millicore * static_cast<double>(cpu_millis);
    if (full_increase < kNegligibleTargetShare) continue;
    const double headroom =
        settings_.placement_limit_share - prediction.current_target_share;
    if (headroom <= 0) return 0;
    if (full_increase > headroom)
      pace_percent = std::min(pace_percent, 100 * headroom / full_increase);
  }
  return static_cast<int>(pace_percent);
}

void TailController::AdjustPaces(Vm& vm, Millis now) {
  if (vm.BestEffortCpuMillis() == 0 || vm.ServingRunCount() == 0) return;
  if (now - vm.pace_changed_at < settings_.min_pace_change_interval) return;
  const RunOnVm* victim = nullptr;
  double worst_share = 0;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.tail_target_ms <= 0) continue;
    const double share = MeasuredShareOf(run);
    if (share <= worst_share) continue;
    worst_share = share;
    victim = &run;
  }
  if (victim && worst_share > settings_.throttle_above_share) {
    Throttle(vm, *victim, now);
  } else if (worst_share < settings_.release_below_share) {
    Release(vm, now);
  }
}

void TailController::SetPace(Vm& vm, RunOnVm& run, int percent, Millis now) {
  run.pace_percent = percent;
  run.pace_changed_at = now;
  vm.pace_changed_at = now;
  vm.tail_predictions.clear();
}

bool TailController::HasLongViolation(const Vm& vm, Millis now) const {
  // Checks all tail latencies, since which one is highest relative to its
  // target changes within seconds.
  for (const auto& [key, run] : vm.Runs()) {
    if (run.over_target_since == Millis(0)) continue;
    if (now - run.over_target_since >= settings_.max_time_over_target)
      return true;
  }
  return false;
}

void TailController::Throttle(Vm& vm, const RunOnVm& victim, Millis now) {
  const bool pause_all = HasLongViolation(vm, now);
  Mix mix;
  mix.services.assign(1, victim.image);
  const auto capacity = static_cast<double>(vm.listing.capacity.cpu_millis);
  const double slowdown = static_cast<double>(victim.measurement) /
                          BaselineMs(victim.image, victim.tail_target_ms);
  for (const auto& [key, entry] : vm.Runs()) {
    if (entry.best_effort_cpu_millis == 0 || entry.pace_percent == 0) continue;
    RunOnVm& run = *vm.FindRun(key);
    const double share = static_cast<double>(run.measurement) / capacity;
    const double contribution = model_.Contribution(mix, run.image, share);
    if (pause_all) {
      SetPace(vm, run, 0, now);
    } else if (contribution > kMinThrottledContribution * slowdown) {
      const int pace_percent =
          static_cast<int>(run.pace_percent * kThrottleFactor);
      SetPace(vm, run,
              pace_percent < kMinThrottledPacePercent ? 0 : pace_percent, now);
    }
  }
}

void TailController::Release(Vm& vm, Millis now) {
  for (const auto& [key, entry] : vm.Runs()) {
    if (entry.best_effort_cpu_millis == 0 || entry.pace_percent >= 100)
      continue;
    const std::int64_t withheld_cpu_millis =
        entry.best_effort_cpu_millis * (100 - entry.pace_percent) / 100;
    const int increase = MaxPacePercent(vm, entry.image, withheld_cpu_millis) *
                         (100 - entry.pace_percent) / 100;
    if (increase < kMinPaceIncreasePercent) continue;
    SetPace(vm, *vm.FindRun(key), entry.pace_percent + increase, now);
    return;
  }
}

}  // namespace basilspur::jobs
