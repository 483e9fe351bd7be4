#include <string>

#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");

void CellOwner::LogRunEvents() {
  const jobs::RunEvents::Batches batches = scheduler_.Events().Take();
  std::string common;
  for (const jobs::RunEvents::Batch& batch : batches) {
    if (batch.events.empty()) continue;
    if (common.empty()) {
      const Millis age = Now() - standing_.confirmed_at();
      common = LogFields() + " sequence=" + std::to_string(sequence_) +
               " confirmed_ms_ago=" + std::to_string(age.count);
    }
    std::string line =
        "event=" + std::string(NameOf(batch.events.front().kind)) + common +
        " count=" + std::to_string(batch.events.size() + batch.left_out) +
        " runs=";
    for (std::size_t i = 0; i < batch.events.size(); ++i)
      line += (i == 0 ? "" : ",") + batch.events[i].ToString();
    kLog.Info(line);
  }
}

void CellOwner::LogRestoredJobs() const {
  for (const jobs::RestoredJob& job : scheduler_.RestoredJobs(Now())) {
    kLog.Info("event=job_restored job=" + job.id + LogFields() +
              " home=" + std::to_string(job.home_cell) +
              " done=" + std::to_string(job.done_tasks) +
              " runs=" + std::to_string(job.runs) +
              " delegated=" + std::to_string(job.delegated_tasks) +
              " age_ms=" + std::to_string(job.age.count));
  }
}

}  // namespace basilspur::cell
