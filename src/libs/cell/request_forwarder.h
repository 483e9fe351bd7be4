#ifndef BASILSPUR_CELL_REQUEST_FORWARDER_H_
#define BASILSPUR_CELL_REQUEST_FORWARDER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/owner_record.h"
#include "cell/peer_contacts.h"
#include "cell/peer_messages.h"
#include "net/asio.h"

namespace basilspur::cell {

class CellMember;

struct ForwardSettings {
  /// How long a request is retried while no owner is found, unless an earlier
  /// attempt may have been executed or the owner is just changing.
  Millis owner_search_timeout{700};
  Millis owner_retry_interval{60};
  /// Part of a caller's time limit that is reserved for sending the reply.
  Millis reply_margin{150};
  /// An owner that has answered nothing for this long after a request was sent
  /// may be unreachable. Accepting a job takes some 20 to 200 ms.
  Millis relay_delay{1'000};
  /// Shortest time between two attempts through other entries.
  Millis relay_interval{500};
  /// With less time than this until LimitReplies(), a request is not begun.
  Millis min_serving_time{250};
};

/// Brings a request to the owner of its cell: directly, or through another
/// entry if this one doesn't reach the owner. The other entry makes one attempt
/// to call the owner that it knows, so a request takes at most one detour. An
/// owner recognizes a repeated request by its job.
///
/// Thread safety: only from the thread of its io_context.
class RequestForwarder {
 public:
  struct Self {
    std::string incarnation;
    std::string address;
  };
  struct Callbacks {
    std::function<std::shared_ptr<CellMember>(int cell)> member;
    /// Sends a request to the entry at an address. A reply without an
    /// incarnation: no process has answered.
    std::function<net::asio::awaitable<JobReply>(
        std::string address, JobRequest request, Millis timeout)>
        call_peer;
  };
  struct Counters {
    std::int64_t relayed = 0;        ///< Requests sent to another entry.
    std::int64_t relays_served = 0;  ///< Those that its owner has answered.
    std::int64_t relays_for_others = 0;
    std::int64_t waited_for_owner = 0;  ///< Not refused: the owner changes.
    std::int64_t not_served = 0;        ///< Given up: no owner has answered.
    std::int64_t owner_calls_slow = 0;  ///< Of this entry to an owner.
    /// Requests of other entries that this one has answered as the owner, and
    /// those of them whose sender had stopped waiting.
    std::int64_t answered_as_owner = 0;
    std::int64_t answered_too_late = 0;
    /// Calls of other entries that were not handled: the sender had closed the
    /// connection.
    std::int64_t abandoned = 0;
    /// Requests of other entries whose time had passed when they were read.
    std::int64_t expired = 0;
    /// Requests of other entries, and the sum of their ages when they were
    /// read.
    std::int64_t read = 0;
    Millis read_age_sum;
  };

  /// Precondition: the references outlive the object, and the object outlives
  /// its coroutines.
  RequestForwarder(net::asio::io_context& context, const Clock& clock,
                   ForwardSettings settings, Self self, PeerContacts& contacts,
                   Callbacks callbacks);

  /// Brings the request to the owner of its cell, and of the cell that the job
  /// moved to. Retries until it is answered or the time is up.
  net::asio::awaitable<JobReply> Forward(JobRequest request);
  /// Serves a request of another entry: as the owner of its cell, or by sending
  /// it on if the other entry asks for that. If its time has passed, since it
  /// had waited for `age` on this machine, nothing is done.
  net::asio::awaitable<JobReply> ServePeer(JobRequest request, Millis age);

  /// Another entry has given its call up after `age`, before it was handled.
  void OnCallAbandoned(Millis age);

  /// Ends all requests by this time, begun ones and later ones: those that have
  /// not been sent to an owner with a refusal, others as in doubt.
  void LimitReplies(Millis reply_by);

  const Counters& Counts() const { return counters_; }

 private:
  /// Part of a call's time limit in which the reply travels, so that a reply
  /// "in doubt" arrives and is not taken for silence.
  static constexpr Millis kHopMargin{60};
  /// A call of an owner that takes longer is logged, by both sides.
  static constexpr Millis kSlowCall{1'000};

  struct Search;
  struct Attempt;

  Millis DeadlineOf(const Search& search) const;
  bool IsTimedOut(const Search& search, const JobRequest& request) const;
  JobReply FinalReply(const Search& search, const JobRequest& request) const;
  net::asio::awaitable<JobReply> TryOnce(JobRequest request, Search& search);
  /// Calls the owner and other entries one after the other, the next one once
  /// the previous one has failed or timed out.
  net::asio::awaitable<JobReply> TryPaths(JobRequest request, Search& search,
                                          std::optional<OwnerRecord> owner);
  /// Waits until a call is answered, all have ended, or for `timeout`, but not
  /// longer than until the request's deadline.
  net::asio::awaitable<void> WaitForAnswer(std::shared_ptr<Attempt> attempt,
                                           const Search& search,
                                           Millis timeout);
  /// Whether other entries can know more of the owner than its silence or reply
  /// since `started` says.
  bool MayRelayHelp(const Attempt& attempt, Millis started) const;
  void LogNotServed(const JobRequest& request, const Search& search) const;
  /// `started` is when the owner was called.
  void NoteOwnerCall(const JobRequest& request, const std::string& address,
                     const JobReply& reply, Millis started);
  /// Counts a request of another entry. Returns whether its time has passed.
  bool NoteRead(const JobRequest& request, Millis age);
  /// Serves a request of another entry as the owner of its cell.
  net::asio::awaitable<JobReply> ServeAsOwner(
      std::shared_ptr<CellMember> member, JobRequest request);
  void LogRelay(const JobRequest& request, const Attempt& attempt,
                const std::string& relay, Millis age) const;
  std::vector<std::string> ChooseRelays(const std::string& owner_address,
                                        Search& search);
  void StartCall(const std::shared_ptr<Attempt>& attempt, std::string address,
                 JobRequest request, Millis timeout);
  net::asio::awaitable<void> RunCall(std::shared_ptr<Attempt> attempt,
                                     std::string address, JobRequest request,
                                     Millis timeout);
  void NoteOwnerReply(CellMember& member, const OwnerRecord& owner,
                      const JobReply& reply);
  Millis Now() const { return clock_.Monotonic(); }

  net::asio::io_context& context_;
  const Clock& clock_;
  ForwardSettings settings_;
  Self self_;
  PeerContacts& contacts_;
  Callbacks callbacks_;
  Counters counters_;
  std::optional<Millis> reply_by_;
  std::set<std::shared_ptr<Attempt>> attempts_;  ///< Those that wait.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_REQUEST_FORWARDER_H_
