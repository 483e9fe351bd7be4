#include "jobs/copy_policy.h"

#include <algorithm>

namespace basilspur::jobs {

/// Number of run times that are kept for each kind of run.
static constexpr std::size_t kWindow = 64;
/// Fewer run times say too little about the upper quartile.
static constexpr std::size_t kMinObservations = 20;
/// Of the same step, whose tasks are alike, fewer suffice.
static constexpr std::size_t kMinSiblings = 3;
/// Bounds the memory; the deployments have 36 and 38 queues.
static constexpr std::size_t kMaxKinds = 1'000;
/// A run is slow if it takes this multiple of the median, and of the upper
/// quartile. A slow run takes seven times as long; the quartile keeps kinds
/// with widely spread run times from being copied all the time.
static constexpr double kMedianFactor = 2;
static constexpr double kQuartileFactor = 1.5;
/// The least slack of an objective. A copy that saves less changes no result.
static constexpr Millis kMinAge(250);
/// A run whose pace leads to this multiple of the expected time is slow once it
/// has run for this share of the expected time.
static constexpr double kSlowPaceFactor = 3;
static constexpr double kMinPaceShare = 0.5;
/// A copy is of use only if the run has more than this multiple of the expected
/// time left.
static constexpr double kMinRestFactor = 1.25;
/// Percentages below are too coarse for a pace.
static constexpr int kMinPercent = 3;

/// Copies of a task that an owner starts at most.
static constexpr int kMaxCopiesOfTask = 2;
static constexpr int kMaxCopiesOfJobPercent = 20;
/// Of the runs in the cell. With 3 of 100 slow tasks, all of them copied,
/// copies are about 3% of the runs.
static constexpr int kMaxCopiesInCellPercent = 5;
static constexpr int kMinCopiesInCell = 2;

static constexpr double kMaxTokens = 4;
/// Above 1, so that the budget lasts while one copy in five loses.
static constexpr double kTokensOfWin = 1.25;
/// A copy that loses costs about five usual run times: 2.5% more work if each
/// 200 runs pay for one.
static constexpr double kTokensOfRun = 1.0 / 200;

bool CopyPolicy::IsEligible(const StepSpec& spec) {
  return spec.speculative && !spec.long_running && !spec.gang &&
         !spec.best_effort;
}

bool CopyPolicy::IsEligible(const Task& task) {
  if (task.done || task.runs.size() != 1 || task.IsSuspect()) return false;
  if (task.IsElsewhere() || task.hosting != HostingState::kOwnJob) return false;
  const Run& run = task.runs.front();
  // A start that may still take effect, or one that is not in the journal,
  // could follow the end of a copy.
  return run.phase == RunPhase::kRunning && run.running_since > Millis(0) &&
         !run.absent;
}

CopyPolicy::Observed& CopyPolicy::ObservedOf(const RunKind& kind) {
  if (observed_.size() >= kMaxKinds && !observed_.contains(kind)) {
    observed_.erase(std::min_element(
        observed_.begin(), observed_.end(), [](const auto& a, const auto& b) {
          return a.second.times.size() < b.second.times.size();
        }));
  }
  const auto [found, is_new] = observed_.try_emplace(kind);
  if (is_new) found->second.tokens = kMaxTokens;
  return found->second;
}

void CopyPolicy::OnRunDone(const RunKind& kind, Millis took) {
  Observed& observed = ObservedOf(kind);
  observed.tokens = std::min(kMaxTokens, observed.tokens + kTokensOfRun);
  if (observed.times.size() < kWindow) {
    observed.times.push_back(took);
    return;
  }
  observed.times[observed.next] = took;
  observed.next = (observed.next + 1) % kWindow;
}

void CopyPolicy::OnCopyStarted(const RunKind& kind) {
  ObservedOf(kind).tokens -= 1;
}

void CopyPolicy::OnCopyWon(const RunKind& kind) {
  Observed& observed = ObservedOf(kind);
  observed.tokens = std::min(kMaxTokens, observed.tokens + kTokensOfWin);
}

static double ValueAt(std::vector<Millis>& times, std::size_t rank) {
  const auto nth = times.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(times.begin(), nth, times.end());
  return static_cast<double>(nth->count);
}

/// Time that the run is expected to take yet; negative if it is not known.
static double RestOf(const RunProgress& run) {
  if (run.percent < kMinPercent) return -1;
  const double total =
      static_cast<double>(run.percent_age.count) * 100 / run.percent;
  const double rest = total - static_cast<double>(run.age.count);
  // The run should have ended: it has become slower since the report.
  return rest > 0 ? rest : -1;
}

std::optional<SlowRun> CopyPolicy::Assess(const RunKind& kind,
                                          std::vector<Millis> siblings,
                                          int count,
                                          const RunProgress& run) const {
  const bool know_siblings =
      siblings.size() >= kMinSiblings &&
      2 * siblings.size() >= static_cast<std::size_t>(count);
  if (!know_siblings) {
    const auto found = observed_.find(kind);
    if (found == observed_.end()) return std::nullopt;
    if (found->second.times.size() < kMinObservations) return std::nullopt;
    siblings = found->second.times;
  }
  const double median = ValueAt(siblings, siblings.size() / 2);
  const double quartile = ValueAt(siblings, siblings.size() * 3 / 4);
  const double threshold =
      std::max({kMedianFactor * median, kQuartileFactor * quartile,
                static_cast<double>(kMinAge.count)});
  const auto age = static_cast<double>(run.age.count);
  const double rest = RestOf(run);
  if (rest >= 0 && rest < kMinRestFactor * median) return std::nullopt;
  const bool slow_pace = rest >= 0 && age >= kMinPaceShare * median &&
                         age >= static_cast<double>(kMinAge.count) &&
                         age + rest >= kSlowPaceFactor * median &&
                         age + rest >= kQuartileFactor * threshold;
  if (age < threshold && !slow_pace) return std::nullopt;
  return SlowRun{Millis(static_cast<std::int64_t>(threshold)),
                 Millis(static_cast<std::int64_t>(median))};
}

bool CopyPolicy::MayStart(const RunKind& kind, const Task& task,
                          const CopyLoad& load) const {
  if (load.others_wait) return false;
  // Both runs may fail, and the job must not fail while one still runs.
  if (task.failures + 2 > load.attempts) return false;
  if (task.copies >= kMaxCopiesOfTask) return false;
  const int max_of_job =
      std::max(1, load.job_tasks * kMaxCopiesOfJobPercent / 100);
  if (load.job_copies >= max_of_job) return false;
  const int max_in_cell = std::max(
      kMinCopiesInCell, load.cell_runs * kMaxCopiesInCellPercent / 100);
  if (load.cell_copies >= max_in_cell) return false;
  const auto observed = observed_.find(kind);
  return observed == observed_.end() || observed->second.tokens >= 1;
}

std::vector<Vm*> CopyPolicy::VmsForCopy(const std::vector<Vm*>& vms,
                                        const Vm& first, bool any_rack) {
  std::vector<Vm*> allowed;
  for (Vm* vm : vms) {
    if (vm == &first) continue;
    if (any_rack || vm->listing.rack != first.listing.rack)
      allowed.push_back(vm);
  }
  return allowed;
}

}  // namespace basilspur::jobs
