#include <string>
#include <string_view>

#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");

static std::string_view NameOf(jobs::JobTier tier) {
  switch (tier) {
    case jobs::JobTier::kStarted:
      return "started";
    case jobs::JobTier::kOnTime:
      return "on_time";
    case jobs::JobTier::kDeferredStarted:
      return "deferred_started";
    case jobs::JobTier::kDeferred:
      return "deferred";
  }
  return "";
}

/// How many VMs refuse a task by which rule, as log fields with leading spaces.
static std::string RefusalFields(const jobs::PlacementOptions& options) {
  std::string fields;
  for (std::size_t i = 0; i < options.refused.size(); ++i) {
    if (options.refused[i] == 0) continue;
    fields += " refused_" + std::string(jobs::kPlacementRefusalNames[i]) + "=" +
              std::to_string(options.refused[i]);
  }
  return fields;
}

void CellOwner::LogOldestWaitingTask(bool best_effort) const {
  const auto waiting = scheduler_.OldestWaitingTask(best_effort, Now());
  if (!waiting) return;
  const jobs::PlacementOptions& options = waiting->options;
  kLog.Info("event=task_waiting job=" + waiting->task.job +
            " task=" + waiting->task.ToString() + LogFields() +
            " best_effort=" + std::to_string(best_effort ? 1 : 0) +
            " age_ms=" + std::to_string(waiting->age.count) +
            " idle_ms=" + std::to_string(waiting->idle.count) +
            " tier=" + std::string(NameOf(waiting->tier)) +
            " may_start=" + std::to_string(waiting->may_start ? 1 : 0) +
            " vms=" + std::to_string(options.vms) +
            " open_vms=" + std::to_string(options.open_vms) +
            " max_pace_percent=" + std::to_string(options.max_pace_percent) +
            RefusalFields(options));
}

void CellOwner::LogLongRunningWaits() {
  if (!ready_ || Now() - last_wait_log_ < settings_.wait_log_interval) return;
  last_wait_log_ = Now();
  LogAwaitedRuns();
  for (const jobs::LongRunningWait& wait : scheduler_.LongRunningWaits(
           settings_.min_logged_wait, settings_.max_logged_waits, Now())) {
    const std::string_view hold =
        jobs::kLongRunningHoldNames[static_cast<std::size_t>(wait.hold)];
    kLog.Info("event=long_running_waiting task=" + wait.task.ToString() +
              LogFields() + " hold=" + std::string(hold) +
              " age_ms=" + std::to_string(wait.age.count) +
              " host=" + std::to_string(wait.host_cell) +
              " delegations=" + std::to_string(wait.delegations) +
              " need_cpu_millis=" + std::to_string(wait.need_cpu_millis) +
              " reserved_vm=" + wait.reserved_vm +
              " reserved_free_cpu_millis=" +
              std::to_string(wait.reserved_free_cpu_millis) +
              " vms_beside_long_running=" +
              std::to_string(wait.vms_beside_long_running) +
              " vms=" + std::to_string(wait.options.vms) +
              " open_vms=" + std::to_string(wait.options.open_vms) +
              RefusalFields(wait.options));
  }
}

}  // namespace basilspur::cell
