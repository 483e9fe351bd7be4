#ifndef BASILSPUR_RESEND_REQUEST_HISTORY_H_
#define BASILSPUR_RESEND_REQUEST_HISTORY_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "link/messages.h"

namespace basilspur::resend {

/// The decision on a send of a request that has arrived.
enum class RequestVerdict {
  kRun,         ///< Run the request, then call Finish().
  kQueryPeers,  ///< Query all peers, then call EndPeerQuery().
  kRunning,     ///< Another send of it is running or being decided here.
  kAnswered,    ///< The request ran here.
  kSuperseded,  ///< A later send of it was seen; this one is not run.
  /// Whether the request ran can't be determined: this entry has no complete
  /// history since the first send, or some peer gave no definite answer.
  kUnknown,
  /// This entry started only recently or is not known to all peers, so it may
  /// have no record of a later send; not run.
  kNotReady,
  kTableFull,  ///< Too many requests are stored; not run.
};

/// The state of non-idempotent requests on this entry, by their id. A query is
/// answered with "never seen" only if this entry has been up for the whole time
/// since the first send, and after any query a late first send of the request
/// is refused.
///
/// Pure logic. Thread safety: one thread at a time.
class RequestHistory {
 public:
  /// Time for which requests are kept in the history.
  static constexpr Millis kRetention{600'000};
  /// Upper bound on the time that a first send takes to reach an entry, if it
  /// reaches one at all.
  static constexpr Millis kMaxSendDelay{5'000};
  /// Upper bound on the difference between the ages that two entries measure
  /// for the same request.
  static constexpr Millis kAgeMargin{2'000};

  /// `started`: the time from which this process accepts requests.
  explicit RequestHistory(Millis started) : started_(started) {}

  /// Decides on the first send of a request.
  RequestVerdict BeginFirst(const std::string& id, Millis now);

  /// Decides on a resend of a request. `age` is the time since the caller first
  /// sent it.
  RequestVerdict BeginResend(const std::string& id, Millis age, Millis now);

  /// Ends the query of the peers. `may_run` means that none of them has run the
  /// request and none of them will; the request then counts as running here.
  void EndPeerQuery(const std::string& id, bool may_run);

  /// Records the end of a running request. `ran` must be true unless it is
  /// certain that no target ran it.
  void Finish(const std::string& id, bool ran);

  /// Answers the query of a peer. If the request is neither running nor has run
  /// here, its first send is blocked here from now on.
  link::SeenAnswer AnswerPeer(const std::string& id, Millis age, Millis now);

  /// Removes requests that are older than the retention time, except those
  /// that are still running or being decided.
  void Expire(Millis now);

  std::size_t Size() const { return states_.size(); }

  /// True if the history is complete for the last `age`: with a margin, `age`
  /// is within the retention time and the process has been up for that long.
  bool CoversAge(Millis age, Millis now) const;

 private:
  enum class IdState { kRunning, kQueryingPeers, kAnswered, kNotRun, kBlocked };

  struct StoredRequest {
    std::string id;
    Millis stored_at;
  };

  void Store(const std::string& id, IdState state, Millis now);

  const Millis started_;
  std::unordered_map<std::string, IdState> states_;
  std::deque<StoredRequest> expiry_queue_;
};

}  // namespace basilspur::resend

#endif  // BASILSPUR_RESEND_REQUEST_HISTORY_H_
