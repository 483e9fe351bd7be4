#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "cell/cell_owner.h"
#include "cell/flag_reset.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("cell");
/// Longer than a host keeps back an answer.
static constexpr Millis kMinHostSilence(700);
/// Keeps the record, which is written each second, at a few kilobytes. Further
/// jobs are listed by the next records.
static constexpr std::size_t kMaxRecalledJobs = 200;

std::optional<RecallRecord> CellOwner::CollectRecalls() {
  if (!ready_) return std::nullopt;
  RecallRecord record;
  const std::set<int> silent = host_contacts_.SilentFor(kMinHostSilence, Now());
  if (!silent.empty()) {
    record.jobs =
        scheduler_.EndedJobsAt(silent, last_listed_recall_, kMaxRecalledJobs);
  }
  if (record.jobs.empty()) {
    if (recalls_are_clear_) return std::nullopt;
    return record;
  }
  last_listed_recall_ = record.jobs.back();
  kLog.Info(
      "event=recalls_published reason=\"their hosts do not answer; they read "
      "in the store that the jobs have ended\"" +
      LogFields() + " jobs=" + std::to_string(record.jobs.size()));
  return record;
}

void CellOwner::CheckHomes() {
  if (!ready_ || draining_ || stopped_ || reading_recalls_) return;
  if (!home_contacts_.ShouldCheck(Now())) return;
  std::vector<int> silent =
      home_contacts_.SilentOf(scheduler_.HomesOfHostedTasks(), Now());
  if (silent.empty()) return;
  reading_recalls_ = true;
  net::Spawn(context_, ReadRecalls(shared_from_this(), std::move(silent)),
             "recall_read");
}

net::asio::awaitable<void> CellOwner::ReadRecalls(
    [[maybe_unused]] std::shared_ptr<CellOwner> self, std::vector<int> homes) {
  const FlagReset reset(reading_recalls_);
  for (const int home : homes) {
    const Partition partition{kOwnersTopic, home};
    const Result<NewestRecords> read = co_await store_.ReadNewest(partition);
    if (!ready_ || draining_ || stopped_) co_return;
    if (!IsOk(read)) continue;
    for (const KeyedRecord& record : ValueOf(read).records) {
      if (record.key == kRecallsKey) ApplyRecalls(home, record);
    }
  }
}

void CellOwner::ApplyRecalls(int home, const KeyedRecord& record) {
  const auto decoded = records::Decode<RecallRecord>(record.value);
  if (!IsOk(decoded)) {
    kLog.Error("event=recall_record_skipped" + LogFields() +
               " home=" + std::to_string(home) + " error=\"" +
               ErrorOf(decoded).ToString() + "\"");
    return;
  }
  const int tasks = scheduler_.RecallHosted(home, ValueOf(decoded).jobs);
  if (tasks == 0) return;
  kLog.Info(
      "event=hosted_tasks_recalled reason=\"the home cell is not heard of, and "
      "the store says that their jobs have ended; stopping them\"" +
      LogFields() + " home=" + std::to_string(home) +
      " tasks=" + std::to_string(tasks));
  SchedulePlan();
  NotifyJournalWriter();
}

}  // namespace basilspur::cell
