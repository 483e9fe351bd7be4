#ifndef BASILSPUR_REPLICA_SNAPSHOT_H_
#define BASILSPUR_REPLICA_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "records/record.h"
#include "state/cluster_state.h"

namespace basilspur::replica {

/// Name of the stream that holds the snapshots of a cell.
std::string SnapshotStream(const std::string& cell);

/// Splits a snapshot of the state into chunks that each fit into one append.
/// Thread safety: any thread, while the state does not change.
std::vector<records::SnapshotChunk> SplitSnapshot(
    const state::ClusterState& state, const std::string& cell,
    const records::EntryRef& writer);

/// Assembles snapshots from chunks and keeps the newest complete one. The
/// chunks of several writers may be interleaved or duplicated, and some may be
/// missing.
///
/// Thread safety: one thread at a time.
class SnapshotAssembler {
 public:
  /// Adds a chunk. Ignores a chunk that is inconsistent with earlier chunks of
  /// its snapshot, has an index or a count out of range, or belongs to a
  /// snapshot that is not newer than the complete one.
  void Add(const records::SnapshotChunk& chunk);

  /// The state offset of the newest complete snapshot, if there is one.
  std::optional<std::int64_t> CompleteOffset() const;

  /// Decodes the newest complete snapshot. Precondition: CompleteOffset().
  Result<state::ClusterState> Load() const;

 private:
  struct Key {
    std::int64_t state_offset;
    records::EntryRef writer;
    auto operator<=>(const Key& other) const = default;
  };
  struct PartialSnapshot {
    std::int64_t count = 0;
    std::map<std::int64_t, std::string> chunks;
  };

  std::map<Key, PartialSnapshot> partial_;
  std::optional<std::int64_t> complete_offset_;
  std::string complete_data_;
};

}  // namespace basilspur::replica

#endif  // BASILSPUR_REPLICA_SNAPSHOT_H_
