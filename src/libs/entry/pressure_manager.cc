#include "entry/pressure_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "interference/mix_builder.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("pressure");
/// All estimates that are based on own measurements are sent again at this
/// interval, so that peers that have started since receive them too.
static constexpr Millis kFullExchangeInterval(300'000);

PressureManager::PressureManager(const interference::Profile& profile,
                                 interference::InterferenceModel& model,
                                 metrics::Registry& metrics,
                                 SendToPeers send_to_peers)
    : model_(model),
      metrics_(metrics),
      send_to_peers_(std::move(send_to_peers)),
      monitor_(profile, model) {}

void PressureManager::OnView(const lease::VmView& view, Millis now) {
  std::vector<interference::RunOnVm> runs;
  runs.reserve(view.runs.size());
  for (const auto& run : view.runs) {
    runs.push_back({run.run, run.job.kind,
                    interference::CpuShare(run.charged, view.capacity),
                    run.job.urgent || run.stop_requested});
  }
  monitor_.OnMix(view.vm, view.services, runs, now);
}

std::optional<records::RunRef> PressureManager::OnReports(
    const lease::VmView& view, std::span<const infra::RunReport> reports,
    Millis now) {
  const auto report =
      std::find_if(reports.begin(), reports.end(),
                   [](const auto& item) { return item.slowdown > 0; });
  if (report == reports.end()) return std::nullopt;
  metrics_.Gauge("basilspur_service_slowdown_percent", {{"vm", view.vm}}) =
      std::llround(report->slowdown * 100);
  const std::size_t throttled_before = monitor_.Throttled(view.vm).size();
  const auto evicted = monitor_.OnReport(
      view.vm, report->slowdown, now - Millis(report->usage_age_ms), now);
  const std::size_t throttled_after = monitor_.Throttled(view.vm).size();
  if (throttled_before != throttled_after) {
    metrics_.Gauge("basilspur_runs_throttled", {{"vm", view.vm}}) =
        static_cast<std::int64_t>(throttled_after);
    kLog.Info("Throttled runs on VM " + view.vm + ": " +
              std::to_string(throttled_after) + ".");
    OnView(view, now);
  }
  return evicted;
}

bool PressureManager::IsThrottled(const std::string& vm,
                                  const records::RunRef& run) const {
  return monitor_.Throttled(vm).contains(run);
}

void PressureManager::Step(Millis now) {
  if (last_exchange_ + interference::kEstimateExchangeInterval > now) return;
  last_exchange_ = now;
  if (last_full_exchange_ + kFullExchangeInterval <= now) {
    last_full_exchange_ = now;
    model_.MarkAllChanged();
  }
  auto changed =
      model_.TakeChangedEstimates(interference::kMaxEstimatesPerExchange);
  if (!changed.empty())
    send_to_peers_(link::InterferenceReport{std::move(changed)});
}

}  // namespace basilspur::entry
