#include "interference/pressure_controller.h"

#include <algorithm>
#include <utility>

namespace basilspur::interference {

/// Assumed interference of a throttled run relative to an unthrottled one.
static constexpr double kThrottledFactor = 0.5;
/// Runs that contribute less to the slowdown are not throttled or evicted.
static constexpr double kNegligibleContribution = 0.02;
/// A measurement is an average over a short period. The mix must not have
/// changed for this long, nor must runs have been throttled, released or
/// evicted.
static constexpr Millis kMixStableTime(2'000);

PressureController::PressureController(const PressureLimits& limits,
                                       InterferenceModel& model,
                                       EvictionBudget& budget)
    : limits_(limits), model_(model), budget_(budget) {}

void PressureController::OnMix(std::vector<std::string> services,
                               std::span<const RunOnVm> runs, Millis now) {
  runs_.assign(runs.begin(), runs.end());
  std::erase_if(throttled_, [&](const records::RunRef& ref) {
    return std::none_of(runs_.begin(), runs_.end(), [&](const RunOnVm& run) {
      return run.run == ref && !run.exempt;
    });
  });
  mix_ = {};
  mix_.services = std::move(services);
  for (const auto& run : runs_) {
    const double factor = throttled_.contains(run.run) ? kThrottledFactor : 1;
    mix_.shares[run.kind] += run.share * factor;
  }
  history_.Add(mix_, now);
}

std::optional<records::RunRef> PressureController::OnReport(double slowdown,
                                                            Millis measured_at,
                                                            Millis now) {
  if (measured_at <= last_measured_at_ || mix_.services.empty()) {
    return std::nullopt;
  }
  last_measured_at_ = measured_at;
  const Mix* mix = history_.StableMixAt(measured_at, kMixStableTime);
  if (mix != nullptr) model_.Observe(*mix, slowdown);
  if (measured_at < last_action_at_ + kMixStableTime) return std::nullopt;
  if (slowdown > limits_.throttle_above) {
    below_release_since_.reset();
    Throttle(slowdown, now);
  } else if (slowdown < limits_.release_below) {
    if (!below_release_since_) below_release_since_ = measured_at;
    if (*below_release_since_ + limits_.release_hold <= measured_at) {
      Release(slowdown, now);
    }
  } else {
    below_release_since_.reset();
  }
  if (slowdown <= limits_.evict_above) {
    above_evict_since_.reset();
    return std::nullopt;
  }
  if (!above_evict_since_) above_evict_since_ = measured_at;
  if (*above_evict_since_ + limits_.evict_hold > measured_at)
    return std::nullopt;
  return Evict(now);
}

double PressureController::ContributionOf(const RunOnVm& run) const {
  return model_.Contribution(mix_, run.kind, run.share);
}

PressureController::Antagonist PressureController::FindWorstAntagonist(
    bool among_throttled) const {
  Antagonist worst;
  for (const auto& run : runs_) {
    if (run.exempt || throttled_.contains(run.run) != among_throttled) continue;
    const double contribution = ContributionOf(run);
    if (contribution < kNegligibleContribution) continue;
    const double intensity = contribution / run.share;
    if (worst.run != nullptr && intensity <= worst.intensity) continue;
    worst = {&run, contribution, intensity};
  }
  return worst;
}

void PressureController::Throttle(double slowdown, Millis now) {
  double expected = slowdown;
  while (expected > limits_.throttle_above) {
    const Antagonist worst = FindWorstAntagonist(/*among_throttled=*/false);
    if (worst.run == nullptr) return;
    throttled_.insert(worst.run->run);
    last_action_at_ = now;
    expected -= worst.contribution * (1 - kThrottledFactor);
  }
}

void PressureController::Release(double slowdown, Millis now) {
  const RunOnVm* mildest = nullptr;
  double mildest_contribution = 0;
  for (const auto& run : runs_) {
    if (!throttled_.contains(run.run)) continue;
    const double contribution = ContributionOf(run);
    if (mildest != nullptr && contribution >= mildest_contribution) continue;
    mildest = &run;
    mildest_contribution = contribution;
  }
  if (mildest == nullptr) return;
  const double expected =
      slowdown + mildest_contribution * (1 - kThrottledFactor);
  if (expected > limits_.throttle_above) return;
  throttled_.erase(mildest->run);
  last_action_at_ = now;
}

std::optional<records::RunRef> PressureController::Evict(Millis now) {
  // Runs are only evicted once no further run can be throttled.
  if (FindWorstAntagonist(/*among_throttled=*/false).run != nullptr)
    return std::nullopt;
  const Antagonist worst = FindWorstAntagonist(/*among_throttled=*/true);
  if (worst.run == nullptr || !budget_.TryTake(now)) return std::nullopt;
  above_evict_since_.reset();
  last_action_at_ = now;
  return worst.run->run;
}

}  // namespace basilspur::interference
