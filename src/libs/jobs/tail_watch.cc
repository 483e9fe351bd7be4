#include "jobs/tail_watch.h"

#include <algorithm>

namespace basilspur::jobs {

using interference::Mix;

/// Of one measured tail against its base; tails of half a second are rough.
static constexpr double kTailVariance = 0.3;
/// A base that no one has measured yet, as a share of the target.
static constexpr double kUnknownBase = 0.4;
/// Load moves a tail by half within seconds, so its mean takes many
/// measurements.
static constexpr int kBaseMemory = 300;
/// As many measurements as the first guess of a base counts for.
static constexpr int kBaseFirstGuess = 20;
/// A tail that others raise by less than this part tells of its base.
static constexpr double kAlmostAlone = 0.15;
/// Shares below this leave a tail as it is.
static constexpr double kNoShare = 0.005;
/// Weights that are known no better than this are not worth telling.
static constexpr double kTellVariance = 2.0;
static constexpr double kPercent = 100;
static constexpr double kMicrosPerMilli = 1'000;
/// A run that adds less than this, as a share of the target, may always come.
static constexpr double kNegligible = 0.02;
/// A throttled run gets this share of its pace, and from a floor on none.
static constexpr double kThrottleFactor = 0.4;
static constexpr int kPaceFloor = 15;
/// In percent points; less is not worth an order.
static constexpr int kSmallestRise = 10;
/// Of a tail, for which best-effort runs must account to be throttled.
static constexpr double kNotableContribution = 0.15;

TailWatch::TailWatch(TailSettings settings)
    : settings_(settings), model_(kTailVariance) {}

double TailWatch::BaseOf(const std::string& image,
                         std::int64_t target_ms) const {
  const auto found = bases_.find(image);
  if (found != bases_.end()) return found->second.mean_ms;
  return kUnknownBase * static_cast<double>(target_ms);
}

void TailWatch::LearnBase(const RunOnVm& run, double alone_ms) {
  const auto target = static_cast<double>(run.tail_target_ms);
  const auto [found, is_new] = bases_.try_emplace(run.image);
  Base& base = found->second;
  if (is_new) base = {kUnknownBase * target, kBaseFirstGuess};
  base.measurements = std::min(base.measurements + 1, kBaseMemory);
  base.mean_ms += (std::min(alone_ms, target) - base.mean_ms) /
                  static_cast<double>(base.measurements);
}

/// The best-effort shares of a VM, as measured or as ordered.
static std::map<std::string, double> SharesOf(const Vm& vm, bool measured) {
  std::map<std::string, double> shares;
  const auto room = static_cast<double>(vm.listing.room.cpu_millis);
  for (const auto& [key, run] : vm.Runs()) {
    if (run.best_effort_cpu == 0 || room <= 0) continue;
    const double ordered =
        static_cast<double>(run.best_effort_cpu) * run.pace / 100;
    const double used = measured ? static_cast<double>(run.figure) : ordered;
    shares[run.image] += used / room;
  }
  return shares;
}

void TailWatch::Observe(Vm& vm, Millis now) {
  if (vm.Serving() == 0) return;
  if (now - vm.observed_at < settings_.observe_interval) return;
  vm.observed_at = now;
  vm.tail_lines.clear();
  Mix mix;
  mix.shares = SharesOf(vm, /*measured=*/true);
  double total = 0;
  for (const auto& [image, share] : mix.shares) total += share;
  for (const auto& [key, entry] : vm.Runs()) {
    RunOnVm& run = *vm.FindRun(key);
    if (run.tail_target_ms <= 0 || run.figure <= 0) continue;
    const auto tail = static_cast<double>(run.figure);
    const bool over = run.figure > run.tail_target_ms;
    if (!over) run.over_since = Millis(0);
    if (over && run.over_since == Millis(0)) run.over_since = now;
    mix.services.assign(1, run.image);
    const double slowdown = model_.Predict(mix);
    if (slowdown - 1 < kAlmostAlone) LearnBase(run, tail / slowdown);
    if (total < kNoShare) continue;
    model_.Observe(mix, tail / BaseOf(run.image, run.tail_target_ms));
  }
}

std::vector<TailLine> TailWatch::LinesOf(const Vm& vm,
                                         const std::string& image) const {
  Mix mix;
  mix.shares = SharesOf(vm, /*measured=*/false);
  std::map<std::string, TailLine> lines;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.tail_target_ms <= 0) continue;
    const auto [found, is_new] = lines.try_emplace(run.image);
    if (!is_new) continue;
    mix.services.assign(1, run.image);
    const double base = BaseOf(run.image, run.tail_target_ms) /
                        static_cast<double>(run.tail_target_ms);
    const double millicore =
        1.0 / static_cast<double>(vm.listing.room.cpu_millis);
    found->second.now = base * model_.Predict(mix);
    found->second.per_millicore =
        base * model_.Contribution(mix, image, millicore);
  }
  std::vector<TailLine> all;
  for (const auto& [served, line] : lines) all.push_back(line);
  return all;
}

TailRecord TailWatch::Learned() const {
  TailRecord record;
  for (const auto& estimate : model_.Own()) {
    if (estimate.variance > kTellVariance) continue;
    record.pairs.push_back(
        {estimate.service, estimate.kind,
         static_cast<std::int64_t>(estimate.weight * kPercent),
         static_cast<std::int64_t>(estimate.variance * kPercent) + 1});
  }
  for (const auto& [image, base] : bases_) {
    record.bases.push_back(
        {image, static_cast<std::int64_t>(base.mean_ms * kMicrosPerMilli),
         base.measurements});
  }
  return record;
}

static std::vector<interference::PairEstimate> EstimatesOf(
    const TailRecord& record) {
  std::vector<interference::PairEstimate> estimates;
  for (const TailPairRecord& pair : record.pairs) {
    estimates.push_back(
        {pair.served, pair.image,
         static_cast<double>(pair.weight_percent) / kPercent,
         static_cast<double>(pair.variance_percent) / kPercent});
  }
  return estimates;
}

void TailWatch::Restore(const TailRecord& record) {
  model_.Restore(EstimatesOf(record));
  LearnBases(record);
}

void TailWatch::LearnFrom(const std::string& cell, const TailRecord& record) {
  model_.TakePeer(cell, EstimatesOf(record));
  LearnBases(record);
}

void TailWatch::LearnBases(const TailRecord& record) {
  for (const TailBaseRecord& told : record.bases) {
    Base& base = bases_[told.image];
    if (base.measurements >= told.measurements) continue;
    base.mean_ms = static_cast<double>(told.mean_us) / kMicrosPerMilli;
    base.measurements = told.measurements;
  }
}

int TailWatch::PaceFor(const Vm& vm, const std::string& image,
                       std::int64_t cpu_millis) const {
  if (vm.Serving() == 0) return 100;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.over_since != Millis(0)) return 0;
  }
  auto found = vm.tail_lines.find(image);
  if (found == vm.tail_lines.end()) {
    found = vm.tail_lines.emplace(image, LinesOf(vm, image)).first;
  }
  double pace = 100;
  for (const TailLine& line : found->second) {
    const double full = line.per_millicore * static_cast<double>(cpu_millis);
    if (full < kNegligible) continue;
    const double left = settings_.place_limit - line.now;
    if (left <= 0) return 0;
    if (full > left) pace = std::min(pace, 100 * left / full);
  }
  return static_cast<int>(pace);
}

void TailWatch::Pace(Vm& vm, Millis now) {
  if (vm.BestEffortCpu() == 0 || vm.Serving() == 0) return;
  if (now - vm.paced_at < settings_.pace_interval) return;
  const RunOnVm* victim = nullptr;
  double worst = 0;
  for (const auto& [key, run] : vm.Runs()) {
    if (run.tail_target_ms <= 0) continue;
    const double share = static_cast<double>(run.figure) /
                         static_cast<double>(run.tail_target_ms);
    if (share <= worst) continue;
    worst = share;
    victim = &run;
  }
  if (victim && worst > settings_.throttle_from) {
    Throttle(vm, *victim, now);
  } else if (worst < settings_.release_below) {
    Release(vm, now);
  }
}

void TailWatch::SetPace(Vm& vm, RunOnVm& run, int percent, Millis now) {
  run.pace = percent;
  run.paced_at = now;
  vm.paced_at = now;
  vm.tail_lines.clear();
}

bool TailWatch::IsOverTooLong(const Vm& vm, Millis now) const {
  // Not only the worst: which tail is the worst changes within seconds.
  for (const auto& [key, run] : vm.Runs()) {
    if (run.over_since == Millis(0)) continue;
    if (now - run.over_since >= settings_.longest_over) return true;
  }
  return false;
}

void TailWatch::Throttle(Vm& vm, const RunOnVm& victim, Millis now) {
  const bool too_long = IsOverTooLong(vm, now);
  Mix mix;
  mix.services.assign(1, victim.image);
  const auto room = static_cast<double>(vm.listing.room.cpu_millis);
  const double slowdown = static_cast<double>(victim.figure) /
                          BaseOf(victim.image, victim.tail_target_ms);
  for (const auto& [key, entry] : vm.Runs()) {
    if (entry.best_effort_cpu == 0 || entry.pace == 0) continue;
    RunOnVm& run = *vm.FindRun(key);
    const double share = static_cast<double>(run.figure) / room;
    const double added = model_.Contribution(mix, run.image, share);
    if (too_long) {
      SetPace(vm, run, 0, now);
    } else if (added > kNotableContribution * slowdown) {
      const int pace = static_cast<int>(run.pace * kThrottleFactor);
      SetPace(vm, run, pace < kPaceFloor ? 0 : pace, now);
    }
  }
}

void TailWatch::Release(Vm& vm, Millis now) {
  for (const auto& [key, entry] : vm.Runs()) {
    if (entry.best_effort_cpu == 0 || entry.pace >= 100) continue;
    const std::int64_t held = entry.best_effort_cpu * (100 - entry.pace) / 100;
    const int more = PaceFor(vm, entry.image, held) * (100 - entry.pace) / 100;
    if (more < kSmallestRise) continue;
    SetPace(vm, *vm.FindRun(key), entry.pace + more, now);
    return;
  }
}

}  // namespace basilspur::jobs
