#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");

void CellOwner::LogPreemptions() {
  for (const jobs::Preemption& preemption : scheduler_.TakePreemptions()) {
    std::string victims;
    for (const jobs::RunKey& victim : preemption.victims) {
      if (!victims.empty()) victims += ",";
      victims += victim.first.ToString() + ":" + std::to_string(victim.second);
    }
    kLog.Info(
        "event=task_preempts reason=\"no VM of this cell has capacity for an "
        "urgent task; stopping runs of lower priority\" job=" +
        preemption.task.job + " task=" + preemption.task.ToString() +
        " vm=" + preemption.vm + " victims=" + victims +
        " free_cpu_millis=" + std::to_string(preemption.free.cpu_millis) +
        " free_memory_mib=" + std::to_string(preemption.free.memory_mib) +
        " report_age_ms=" + std::to_string(preemption.report_age.count) +
        LogFields());
  }
}

}  // namespace basilspur::cell
