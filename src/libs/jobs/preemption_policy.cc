#include "jobs/preemption_policy.h"

#include <algorithm>
#include <utility>

namespace basilspur::jobs {

/// Share of a run's work that is lost in spite of a checkpoint, whose age is
/// not known.
static constexpr double kLossWithCheckpoint = 0.1;

/// Processor time, in core milliseconds, that is lost with the run.
static double LossOf(const PreemptionPolicy::Candidate& run) {
  if (run.past_use) return 0;
  // A best-effort run occupies no processors, but loses its time all the same.
  const std::int64_t cpu_millis =
      std::max(run.charge.cpu_millis, std::int64_t{1'000});
  const double work = static_cast<double>(run.age.count * cpu_millis) / 1'000;
  return run.has_checkpoint ? kLossWithCheckpoint * work : work;
}

/// Returns what `free` lacks of `need`.
static records::Resources MissingOf(const records::Resources& need,
                                    const records::Resources& free) {
  return (need - free).ComponentwiseMax({});
}

/// Returns the runs to stop on one VM; empty if they do not suffice.
static std::vector<PreemptionPolicy::Candidate> VictimsOn(
    const PreemptionPolicy::Option& option, const records::Resources& need,
    std::size_t max_victims) {
  std::vector<PreemptionPolicy::Candidate> left = option.candidates;
  std::stable_sort(left.begin(), left.end(), [](const auto& a, const auto& b) {
    return LossOf(a) < LossOf(b);
  });
  std::vector<PreemptionPolicy::Candidate> victims;
  records::Resources missing = MissingOf(need, option.free);
  while (victims.size() < max_victims) {
    // One run that suffices is better than several; else the largest one.
    auto next = std::find_if(left.begin(), left.end(), [&](const auto& run) {
      return missing.FitsIn(run.charge);
    });
    const bool suffices = next != left.end();
    if (!suffices) {
      next = std::max_element(
          left.begin(), left.end(), [&](const auto& a, const auto& b) {
            const auto part = [&](const auto& run) {
              const auto useful = run.charge.ComponentwiseMin(missing);
              return std::pair(useful.cpu_millis, useful.memory_mib);
            };
            return part(a) < part(b);
          });
    }
    if (next == left.end()) return {};
    missing = MissingOf(missing, next->charge);
    victims.push_back(*next);
    left.erase(next);
    if (suffices) return victims;
  }
  return {};
}

int PreemptionPolicy::StopsLeft(Millis now) {
  while (!recent_stops_.empty() && now - recent_stops_.front() >= Millis(1'000))
    recent_stops_.pop_front();
  return kMaxStopsPerSecond - static_cast<int>(recent_stops_.size());
}

std::optional<PreemptionPolicy::Choice> PreemptionPolicy::Choose(
    const records::Resources& need, std::span<const Option> options,
    Millis now) {
  const int max_victims = std::min(kMaxVictims, StopsLeft(now));
  if (max_victims <= 0) return std::nullopt;
  std::optional<Choice> best;
  std::pair<std::size_t, double> best_cost;
  for (const Option& option : options) {
    const std::vector<Candidate> victims =
        VictimsOn(option, need, static_cast<std::size_t>(max_victims));
    if (victims.empty()) continue;
    double loss = 0;
    for (const Candidate& victim : victims) loss += LossOf(victim);
    const std::pair cost(victims.size(), loss);
    if (best && cost >= best_cost) continue;
    best_cost = cost;
    best = Choice{option.vm, {}};
    for (const Candidate& victim : victims) best->runs.push_back(victim.run);
  }
  return best;
}

void PreemptionPolicy::OnStop(Millis now) {
  recent_stops_.push_back(now);
  ++stop_count_;
}

}  // namespace basilspur::jobs
