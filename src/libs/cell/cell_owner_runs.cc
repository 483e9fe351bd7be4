#include <string>
#include <vector>

#include "base/logging.h"
#include "cell/cell_owner.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// Leaves room for the fields before the list in a line of the log.
static constexpr std::size_t kMaxListBytes = 3'400;

/// Writes "FIELDS LIST=ITEM,ITEM…", in several lines if there are many items.
static void LogList(const std::string& fields, const char* list,
                    const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    if (!text.empty() && text.size() + item.size() > kMaxListBytes) {
      kLog.Info(fields + " " + list + "=" + text);
      text.clear();
    }
    text += (text.empty() ? "" : ",") + item;
  }
  if (!text.empty()) kLog.Info(fields + " " + list + "=" + text);
}

void CellOwner::LogRunEvents() {
  last_run_log_ = Now();
  const Millis confirmed_ago = Now() - standing_.confirmed_at();
  const std::string common =
      LogFields() + " sequence=" + std::to_string(sequence_) +
      " confirmed_ms_ago=" + std::to_string(confirmed_ago.count);
  for (const jobs::RunEvents::Batch& batch : scheduler_.Events().Take()) {
    if (batch.events.empty()) continue;
    std::vector<std::string> runs;
    for (const jobs::RunEvent& event : batch.events)
      runs.push_back(event.ToString());
    LogList("event=" + std::string(NameOf(batch.events.front().kind)) + common +
                " count=" + std::to_string(runs.size()) +
                " left_out=" + std::to_string(batch.left_out),
            "runs", runs);
  }
}

void CellOwner::LogRestoredJobs() const {
  std::vector<std::string> jobs;
  for (const jobs::RestoredJob& job : scheduler_.RestoredJobs(Now()))
    jobs.push_back(job.ToString());
  LogList("event=jobs_restored" + LogFields() +
              " count=" + std::to_string(jobs.size()),
          "jobs", jobs);
}

}  // namespace basilspur::cell
