#ifndef TESTS_SIM_LINK_FAULTS_H_
#define TESTS_SIM_LINK_FAULTS_H_

#include <set>
#include <string>

#include "base/clock.h"

namespace basilspur::sim {

/// How the store treats a node's calls.
enum class StoreAccess {
  kNormal,
  kRefused,     ///< Answers that nothing was done.
  kSilent,      ///< Nothing is done and nothing answered.
  kReadOnly,    ///< Appends are neither done nor answered.
  kLosesCalls,  ///< Some calls are not answered, or executed late or never.
};

/// What the sender of a command is held to.
///
/// Thread safety: a plain value.
struct SenderState {
  bool in_touch = false;  ///< See LinkFaults::IsInTouch.
  /// It reads the store, and its command arrives without a delay.
  bool knows_vms = false;
};

/// The present faults on the links of one node.
///
/// Thread safety: a plain value.
struct LinkFaults {
  StoreAccess store = StoreAccess::kNormal;
  bool peers_cut = false;
  std::set<int> cut_nodes;  ///< Nodes that get no messages of this one.
  /// How long other nodes' requests wait until this node reads them. Its ticks
  /// and its own calls are on time.
  Millis request_wait;
  /// Added to the delay of the list of VMs and of its changes.
  Millis directory_delay;
  std::set<std::string> cut_vms;    ///< Ids of VMs without a path.
  std::set<std::string> lossy_vms;  ///< Ids of VMs whose answers may be lost.
  /// Share of the starts that are not answered and carried out late.
  double late_start_share = 0;
  /// When the last fault of the node will have been over for long enough.
  Millis in_touch_from;
  /// When the node will have read the store for long enough after a fault.
  Millis reads_store_from;

  bool ReadsStore(Millis now) const {
    return store != StoreAccess::kRefused && store != StoreAccess::kSilent &&
           now >= reads_store_from;
  }

  /// Whether the rules that hold for nodes without faults hold for this one.
  bool IsInTouch(Millis now) const {
    const bool reaches_all = store == StoreAccess::kNormal && !peers_cut &&
                             request_wait == Millis(0) && cut_nodes.empty() &&
                             cut_vms.empty() && lossy_vms.empty();
    return reaches_all && now >= in_touch_from;
  }
};

/// How long a node has to be without faults.
inline constexpr Millis kContactTime(3'000);

}  // namespace basilspur::sim

#endif  // TESTS_SIM_LINK_FAULTS_H_
