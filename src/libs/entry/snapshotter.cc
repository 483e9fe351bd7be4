#include "entry/snapshotter.h"

#include <utility>

#include "base/logging.h"
#include "lease/claim_planner.h"
#include "replica/snapshot.h"

namespace basilspur::entry {

static constexpr LogCategory kLog("snapshots");
static constexpr Millis kStepInterval(100);

Snapshotter::Snapshotter(records::EntryRef self, std::string cell,
                         std::unique_ptr<infra::LogService> log,
                         const SnapshotSchedule& schedule,
                         const replica::Replica& replica,
                         replica::LogWriter& writer,
                         const Membership& membership, const Clock& clock)
    : self_(std::move(self)),
      cell_(std::move(cell)),
      log_(std::move(log)),
      schedule_(schedule),
      replica_(replica),
      writer_(writer),
      membership_(membership),
      clock_(clock) {}

Snapshotter::~Snapshotter() { Stop(); }

void Snapshotter::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Snapshotter::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void Snapshotter::Run() {
  while (!stopping_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepInterval.count));
    if (membership_.HasInitialView() && !replica_.LogIsDown() && IsDue())
      Write();
  }
}

bool Snapshotter::IsDue() const {
  const std::set<std::string> up = membership_.EntriesUp();
  if (lease::PreferredOwner(cell_ + " snapshot", up) != self_.name) {
    return false;
  }
  return replica_.Read([this](const state::ClusterState& state) {
    if (state.Offset() < 0) return false;
    const std::int64_t entries = state.Offset() - state.SnapshotOffset();
    const Millis age = clock_.Wall() - Millis(state.SnapshotWallMillis());
    return entries >= schedule_.records || age >= schedule_.interval;
  });
}

void Snapshotter::Write() {
  const auto chunks = replica_.Read([this](const state::ClusterState& state) {
    return replica::SplitSnapshot(state, cell_, self_);
  });
  const std::string stream = replica::SnapshotStream(cell_);
  for (const auto& chunk : chunks) {
    if (stopping_) return;
    const auto appended = log_->Append(stream, records::Encode(chunk));
    if (!IsOk(appended)) {
      kLog.Warning(
          "Snapshot aborted because a chunk could not be appended; a new "
          "snapshot stays due. " +
          ErrorOf(appended).ToString() + ".");
      return;
    }
  }
  const std::int64_t offset = chunks.front().state_offset;
  const auto applied = std::make_shared<std::atomic<bool>>(false);
  const Status queued =
      writer_.Submit(records::SnapshotTaken{offset}, "",
                     [applied](const state::ApplyResult&) { *applied = true; });
  if (!IsOk(queued)) return;
  while (!*applied && !stopping_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepInterval.count));
  }
  kLog.Info("Snapshot of offset " + std::to_string(offset) + " written in " +
            std::to_string(chunks.size()) + " chunks.");
}

}  // namespace basilspur::entry
