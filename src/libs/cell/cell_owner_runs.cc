#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "cell/cell_owner.h"
#include "jobs/awaited_vm.h"
#include "jobs/unreported_run.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// Leaves room for the fields before the list in a line of the log.
static constexpr std::size_t kMaxListBytes = 3'400;
/// A run or VM takes about 100 bytes, so that a list fits into two lines.
static constexpr std::size_t kMaxAwaitedItems = 60;

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

/// Returns "count=… left_out=…" and the first items of a list as text.
template <class Item>
static std::pair<std::string, std::vector<std::string>> FirstOf(
    const std::vector<Item>& items) {
  const std::size_t kept = std::min(items.size(), kMaxAwaitedItems);
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kept; ++i) texts.push_back(items[i].ToString());
  return {" count=" + std::to_string(items.size()) +
              " left_out=" + std::to_string(items.size() - kept),
          std::move(texts)};
}

void CellOwner::LogAwaitedRuns() const {
  const Millis min_age = settings_.missing_report_age;
  const auto [vm_fields, vms] = FirstOf(scheduler_.AwaitedVms(min_age, Now()));
  LogList("event=vms_awaited" + LogFields() + vm_fields + " starts_held=" +
              std::to_string(scheduler_.HasCompleteRunState() ? 0 : 1) +
              " predecessors_stopped=" +
              std::to_string(predecessors_stopped_ ? 1 : 0),
          "vms", vms);
  const auto [run_fields, runs] =
      FirstOf(scheduler_.UnreportedRuns(min_age, Now()));
  LogList("event=runs_unreported" + LogFields() + run_fields, "runs", runs);
}

}  // namespace basilspur::cell
