#include "replica/snapshot.h"

#include <span>
#include <utility>

#include "records/codec.h"

namespace basilspur::replica {

static constexpr std::size_t kChunkBytes = 256 * 1024;
static constexpr std::int64_t kMaxChunks = 100'000;

std::string SnapshotStream(const std::string& cell) {
  return cell + ".snapshots";
}

std::vector<records::SnapshotChunk> SplitSnapshot(
    const state::ClusterState& state, const std::string& cell,
    const records::EntryRef& writer) {
  const std::string data = state.Serialize();
  std::vector<records::SnapshotChunk> chunks;
  for (std::size_t begin = 0; begin < data.size(); begin += kChunkBytes) {
    records::SnapshotChunk& chunk = chunks.emplace_back();
    chunk.cell = cell;
    chunk.writer = writer;
    chunk.state_offset = state.Offset();
    chunk.index = static_cast<std::int64_t>(chunks.size()) - 1;
    chunk.data = data.substr(begin, kChunkBytes);
  }
  for (auto& chunk : chunks) {
    chunk.count = static_cast<std::int64_t>(chunks.size());
  }
  return chunks;
}

void SnapshotAssembler::Add(const records::SnapshotChunk& chunk) {
  if (chunk.count <= 0 || chunk.count > kMaxChunks) return;
  if (chunk.index < 0 || chunk.index >= chunk.count) return;
  if (complete_offset_ && chunk.state_offset <= *complete_offset_) return;
  PartialSnapshot& partial = partial_[{chunk.state_offset, chunk.writer}];
  if (partial.count == 0) partial.count = chunk.count;
  if (partial.count != chunk.count) return;
  partial.chunks.emplace(chunk.index, chunk.data);
  if (static_cast<std::int64_t>(partial.chunks.size()) < partial.count) return;
  complete_offset_ = chunk.state_offset;
  complete_data_.clear();
  for (const auto& [index, data] : partial.chunks) complete_data_ += data;
  const Key first_newer_key{chunk.state_offset + 1, {}};
  partial_.erase(partial_.begin(), partial_.lower_bound(first_newer_key));
}

std::optional<std::int64_t> SnapshotAssembler::CompleteOffset() const {
  return complete_offset_;
}

Result<state::ClusterState> SnapshotAssembler::Load() const {
  const std::span<const std::uint8_t> bytes(
      reinterpret_cast<const std::uint8_t*>(complete_data_.data()),
      complete_data_.size());
  Result<state::ClusterState> state =
      records::Decode<state::ClusterState>(bytes);
  if (IsOk(state)) ValueOf(state).RebuildIndexes();
  return state;
}

}  // namespace basilspur::replica
