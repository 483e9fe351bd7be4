#ifndef BASILSPUR_ENTRY_ROUTE_UPDATER_H_
#define BASILSPUR_ENTRY_ROUTE_UPDATER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "records/specs.h"

namespace basilspur::front {
class Front;
struct RouteTable;
}  // namespace basilspur::front
namespace basilspur::link {
class PeerMesh;
}
namespace basilspur::replica {
class Replica;
}

namespace basilspur::entry {

class Membership;

/// Updates an entry's routes and links, on a thread of its own, when the state
/// or the set of entries that are up changes.
///
/// Thread safety: any thread.
class RouteUpdater {
 public:
  /// Precondition: all arguments outlive the object.
  RouteUpdater(records::EntryRef self, const replica::Replica& replica,
               const Membership& membership, link::PeerMesh& mesh,
               front::Front& front);
  ~RouteUpdater();

  RouteUpdater(const RouteUpdater&) = delete;
  RouteUpdater& operator=(const RouteUpdater&) = delete;

  /// Precondition: the front has been started.
  void Start();
  void Stop();

  /// Requests an immediate update. Has to be called after records have been
  /// applied.
  void RequestUpdate();

  /// The offset of the state on which the current routes are based; -1 before
  /// the first routes have been applied.
  std::int64_t OffsetInForce() const { return offset_in_force_; }

 private:
  void Run();
  void Step();
  void ApplyRoutes(std::shared_ptr<const front::RouteTable> routes,
                   std::map<std::string, std::string> links);
  void WaitForChange();

  const records::EntryRef self_;
  const replica::Replica& replica_;
  const Membership& membership_;
  link::PeerMesh& mesh_;
  front::Front& front_;
  std::int64_t routing_revision_ = -1;
  std::set<std::string> entries_up_;
  std::atomic<std::int64_t> offset_in_force_{-1};
  std::mutex mutex_;
  std::condition_variable wakeup_;
  bool update_requested_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_ROUTE_UPDATER_H_
