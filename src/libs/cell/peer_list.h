#ifndef BASILSPUR_CELL_PEER_LIST_H_
#define BASILSPUR_CELL_PEER_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace basilspur::cell {

/// The addresses of other entries that this entry knows: owners, their
/// candidates, and entries that probe it. Chooses the entry that forwards a
/// request whose owner this entry can't reach. It does no input or output.
///
/// Thread safety: one thread at a time.
class PeerList {
 public:
  /// The address was named by another entry, or as the sender of a call.
  void Add(const std::string& address, Millis now);
  void OnAnswer(const std::string& address, Millis now);
  void OnNoAnswer(const std::string& address, Millis now);

  /// Whether the last call to the address was not answered, lately.
  bool IsSilent(const std::string& address, Millis now) const;
  bool HasAnsweredSince(const std::string& address, Millis since) const;
  /// An entry that is not in `excluded`; entries that answer go first, and
  /// calls spread over them. Empty if all others are excluded or silent.
  std::optional<std::string> ChooseRelay(const std::set<std::string>& excluded,
                                         Millis now);
  /// The entry that was not called for the longest time.
  std::optional<std::string> ChooseToCheck(Millis now);
  /// A few entries to name to another one, in turn.
  std::vector<std::string> ChooseToName(Millis now);
  std::size_t Size() const { return peers_.size(); }

 private:
  struct Peer {
    Millis added_at;
    std::optional<Millis> answered_at;
    std::optional<Millis> silent_at;
    std::optional<Millis> checked_at;
    std::uint64_t chosen = 0;
    std::uint64_t named = 0;
  };

  Peer& PeerAt(const std::string& address, Millis now);

  std::map<std::string, Peer> peers_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_PEER_LIST_H_
