#ifndef BASILSPUR_RESEND_AT_MOST_ONCE_GATE_H_
#define BASILSPUR_RESEND_AT_MOST_ONCE_GATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/clock.h"
#include "link/messages.h"
#include "resend/request_history.h"

namespace basilspur::resend {

/// The peers to query about a request.
struct PeersToQuery {
  std::set<std::string> names;
  /// False if an entry that may have run the request can no longer be queried.
  bool complete = true;
};

/// The functions through which the gate reaches its peers. All of them are
/// called on any thread.
struct AtMostOnceGateCallbacks {
  /// Sends a message to a peer; false if there is no link to it.
  std::function<bool(const std::string& peer, const link::Message&)> send;
  /// The peers to query about a request of this age.
  std::function<PeersToQuery(Millis age)> peers;
  /// True once every live entry has acknowledged this one on its link, so that
  /// it also queries this one about resends.
  std::function<bool()> known_to_all;
};

/// Admits a non-idempotent request at most once across all entries. The first
/// send of a request is admitted without coordination. A resend queries every
/// other entry, and is admitted only if each of them replies that it never ran
/// the request.
///
/// Thread safety: any thread.
class AtMostOnceGate {
 public:
  /// Gets kRun, or the reason why the request must not run. Called once,
  /// possibly on the thread that called BeginResend().
  using DoneCallback = std::function<void(RequestVerdict)>;

  /// Precondition: `clock` outlives the gate.
  AtMostOnceGate(const Clock& clock, AtMostOnceGateCallbacks callbacks);

  /// Decides on the first send of a request.
  RequestVerdict BeginFirst(const std::string& id);

  /// Decides on a resend of a request that was first sent `age` ago. If a peer
  /// has not replied within `wait`, the next Sweep() takes its answer as
  /// unknown.
  void BeginResend(const std::string& id, Millis age, Millis wait,
                   DoneCallback done);

  /// Records the end of an admitted request. `ran` must be true unless it is
  /// certain that no target ran the request. Precondition: the verdict for `id`
  /// was kRun.
  void Finish(const std::string& id, bool ran);

  /// Handles SeenQuery and SeenReply; ignores all other messages.
  void OnMessage(const std::string& peer, const link::Message& message);

  /// Completes queries that have timed out. Has to be called a few times per
  /// second.
  void Sweep();

  /// Number of requests in the history.
  std::size_t Size() const;

 private:
  struct PendingQuery {
    std::string id;
    std::set<std::string> unanswered_peers;
    Millis deadline;
    RequestVerdict combined_verdict = RequestVerdict::kRun;
    DoneCallback done;
  };

  void OnReply(const std::string& peer, const link::SeenReply& reply);
  void CompleteQuery(std::map<std::uint64_t, PendingQuery>::iterator pending,
                     std::unique_lock<std::mutex>& lock);

  const Clock& clock_;
  const AtMostOnceGateCallbacks callbacks_;
  mutable std::mutex mutex_;
  RequestHistory history_;
  std::uint64_t last_query_ = 0;
  std::map<std::uint64_t, PendingQuery> pending_queries_;
};

}  // namespace basilspur::resend

#endif  // BASILSPUR_RESEND_AT_MOST_ONCE_GATE_H_
