#include "entry/pressure_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "interference/mix_builder.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("pressure");
/// A peer that came up since learns everything that often.
static constexpr Millis kTellAllInterval(300'000);

PressureKeeper::PressureKeeper(const interference::Profile& profile,
                               interference::InterferenceModel& model,
                               metrics::Registry& metrics, Tell tell)
    : model_(model),
      metrics_(metrics),
      tell_(std::move(tell)),
      monitor_(profile, model) {}

void PressureKeeper::OnView(const lease::VmView& view, Millis now) {
  std::vector<interference::RunOnVm> runs;
  runs.reserve(view.runs.size());
  for (const auto& run : view.runs) {
    runs.push_back({run.run, run.job.kind,
                    interference::CpuShare(run.charged, view.capacity),
                    run.job.urgent || run.stop_requested});
  }
  monitor_.OnMix(view.vm, view.services, runs, now);
}

std::optional<records::RunRef> PressureKeeper::OnReports(
    const lease::VmView& view, std::span<const infra::RunReport> reports,
    Millis now) {
  const auto report =
      std::find_if(reports.begin(), reports.end(),
                   [](const auto& item) { return item.slowdown > 0; });
  if (report == reports.end()) return std::nullopt;
  metrics_.Gauge("basilspur_service_slowdown_percent", {{"vm", view.vm}}) =
      std::llround(report->slowdown * 100);
  const std::size_t before = monitor_.Throttled(view.vm).size();
  const auto evicted = monitor_.OnReport(
      view.vm, report->slowdown, now - Millis(report->usage_age_ms), now);
  const std::size_t after = monitor_.Throttled(view.vm).size();
  if (before != after) {
    metrics_.Gauge("basilspur_runs_throttled", {{"vm", view.vm}}) =
        static_cast<std::int64_t>(after);
    kLog.Info("VM " + view.vm + " has " + std::to_string(after) +
              " throttled runs.");
    OnView(view, now);
  }
  return evicted;
}

bool PressureKeeper::IsThrottled(const std::string& vm,
                                 const records::RunRef& run) const {
  return monitor_.Throttled(vm).contains(run);
}

void PressureKeeper::Step(Millis now) {
  if (told_at_ + interference::kEstimateExchangeInterval > now) return;
  told_at_ = now;
  if (told_all_at_ + kTellAllInterval <= now) {
    told_all_at_ = now;
    model_.MarkAllChanged();
  }
  auto changed =
      model_.TakeChangedEstimates(interference::kMaxEstimatesPerExchange);
  if (!changed.empty()) tell_(link::InterferenceReport{std::move(changed)});
}

}  // namespace basilspur::entry
