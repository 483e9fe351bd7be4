#include "cell/request_forwarder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/logging.h"
#include "cell/cell_member.h"
#include "cell/signal.h"
#include "net/spawn.h"

namespace basilspur::cell {

static constexpr LogCategory kLog("forward");
/// A call ends this long before the request does, so that a connection that
/// can't be established leaves nothing in doubt.
static constexpr Millis kCallMargin(20);
static constexpr std::size_t kMaxRelays = 2;

/// The course of one caller's request.
struct RequestForwarder::Search {
  Millis started;
  Millis deadline;
  Millis cell_started;    ///< When the search in the present cell began.
  bool in_doubt = false;  ///< An earlier attempt may have been executed.
  bool counted_wait = false;
  int attempts = 0;
  std::string tried_owner;  ///< Incarnation of the owner that was called last.
  std::set<std::string> used_relays;
  std::optional<Millis> relayed_at;
};

/// Calls that carry copies of one request.
struct RequestForwarder::Attempt {
  explicit Attempt(net::asio::io_context& context) : changed(context) {}

  Signal changed;
  std::shared_ptr<CellMember> member;
  std::optional<OwnerRecord> owner;
  int pending = 0;
  bool in_doubt = false;
  bool owner_replied = false;       ///< Or its address refuses connections.
  std::optional<JobReply> answer;   ///< The first one that is no refusal.
  std::optional<JobReply> refusal;  ///< Nothing was done by this copy.

  std::string OwnerAddress() const { return owner ? owner->address : ""; }
};

/// An owner that may have been replaced and can't reach the store refuses what
/// its successor would accept.
static bool IsNotServing(const JobReply& reply) {
  return reply.kind == ReplyKind::kNotOwner ||
         (reply.kind == ReplyKind::kUnavailable && reply.may_be_replaced);
}

static bool IsRefusal(const JobReply& reply) {
  return reply.kind == ReplyKind::kBusy ||
         reply.kind == ReplyKind::kUnavailable;
}

static bool IsRead(const JobRequest& request) {
  return request.kind == RequestKind::kStatus ||
         request.kind == RequestKind::kCount;
}

RequestForwarder::RequestForwarder(net::asio::io_context& context,
                                   const Clock& clock, ForwardSettings settings,
                                   Self self, PeerContacts& contacts,
                                   Callbacks callbacks)
    : context_(context),
      clock_(clock),
      settings_(settings),
      self_(std::move(self)),
      contacts_(contacts),
      callbacks_(std::move(callbacks)) {}

void RequestForwarder::LimitReplies(Millis reply_by) {
  reply_by_ = reply_by;
  for (const auto& attempt : attempts_) attempt->changed.NotifyAll();
}

Millis RequestForwarder::DeadlineOf(const Search& search) const {
  return reply_by_ ? std::min(search.deadline, *reply_by_) : search.deadline;
}

bool RequestForwarder::IsTimedOut(const Search& search,
                                  const JobRequest& request) const {
  const Millis now = Now();
  if (now >= DeadlineOf(search)) return true;
  const bool has_begun = search.attempts > 0;
  if (reply_by_ && !has_begun && now + settings_.min_serving_time > *reply_by_)
    return true;
  const Millis searched = now - search.cell_started;
  if (search.in_doubt || searched <= settings_.owner_search_timeout)
    return false;
  const std::shared_ptr<CellMember> member = callbacks_.member(request.cell);
  const std::optional<OwnerRecord>& owner = member->KnownOwner();
  const bool new_owner = owner && owner->incarnation != search.tried_owner;
  return !new_owner && !member->IsChangingOwner();
}

JobReply RequestForwarder::FinalReply(const Search& search,
                                      const JobRequest& request) const {
  // A read changes nothing, so it is never in doubt.
  if (search.in_doubt && !IsRead(request)) return {ReplyKind::kInDoubt};
  JobReply reply{ReplyKind::kUnavailable};
  reply.retry_after_ms = callbacks_.member(request.cell)->NextOwnerIn().count;
  return reply;
}

net::asio::awaitable<JobReply> RequestForwarder::Forward(JobRequest request) {
  Search search;
  search.started = search.cell_started = Now();
  search.deadline =
      search.started + Millis(request.timeout_ms) - settings_.reply_margin;
  for (;;) {
    if (IsTimedOut(search, request)) {
      ++counters_.not_served;
      LogNotServed(request, search);
      co_return FinalReply(search, request);
    }
    if (!search.counted_wait &&
        Now() - search.cell_started > settings_.owner_search_timeout) {
      search.counted_wait = true;
      ++counters_.waited_for_owner;
    }
    ++search.attempts;
    JobReply reply = co_await TryOnce(request, search);
    if (reply.kind == ReplyKind::kMoved && !request.moved) {
      request.cell = reply.count;
      request.moved = true;
      search.cell_started = Now();
      search.tried_owner.clear();
      search.used_relays.clear();
      // The interval is between attempts to reach the same owner.
      search.relayed_at.reset();
      continue;
    }
    if (reply.kind == ReplyKind::kInDoubt) search.in_doubt = true;
    const bool retry = IsNotServing(reply) || reply.kind == ReplyKind::kInDoubt;
    // An earlier attempt in doubt may have been executed, so a later refusal is
    // no valid reply to the request.
    if (!retry && !(search.in_doubt && IsRefusal(reply))) co_return reply;
    co_await net::Sleep(settings_.owner_retry_interval);
  }
}

net::asio::awaitable<JobReply> RequestForwarder::TryOnce(JobRequest request,
                                                         Search& search) {
  const std::shared_ptr<CellMember> member = callbacks_.member(request.cell);
  request.timeout_ms = (DeadlineOf(search) - Now()).count;
  if (member->Owner()) {
    search.tried_owner = self_.incarnation;
    JobReply reply = co_await member->Owner()->Handle(request);
    reply.may_be_replaced = !member->IsAuthoritative();
    const bool may_have_successor =
        reply.may_be_replaced && member->Owner() && member->Owner()->IsReady();
    if (!IsNotServing(reply) || !may_have_successor) co_return reply;
    member->OnOwnerDoubted();
    co_return co_await TryPaths(std::move(request), search, std::nullopt);
  }
  const std::optional<OwnerRecord> owner = member->KnownOwner();
  search.tried_owner = owner ? owner->incarnation : "";
  if (owner && owner->incarnation != self_.incarnation) {
    co_return co_await TryPaths(std::move(request), search, owner);
  }
  member->OnOwnerDoubted();
  // The other entries know of an owner only what this one reads in the store.
  if (member->ReadsStore()) co_return JobReply{ReplyKind::kNotOwner};
  co_return co_await TryPaths(std::move(request), search, std::nullopt);
}

std::vector<std::string> RequestForwarder::ChooseRelays(
    const std::string& owner_address, Search& search) {
  std::vector<std::string> relays;
  const Millis now = Now();
  if (search.relayed_at && now - *search.relayed_at < settings_.relay_interval)
    return relays;
  std::set<std::string> excluded = search.used_relays;
  excluded.insert({owner_address, self_.address});
  while (relays.size() < kMaxRelays) {
    const auto chosen = contacts_.Peers().ChooseRelay(excluded, now);
    if (!chosen) break;
    excluded.insert(*chosen);
    relays.push_back(*chosen);
  }
  return relays;
}

net::asio::awaitable<void> RequestForwarder::WaitForAnswer(
    std::shared_ptr<Attempt> attempt, const Search& search, Millis timeout) {
  const Millis timeout_at = Now() + timeout;
  attempts_.insert(attempt);
  while (!attempt->answer && attempt->pending > 0) {
    const Millis until = std::min(timeout_at, DeadlineOf(search));
    if (Now() >= until) break;
    co_await attempt->changed.WaitFor(until - Now());
  }
  attempts_.erase(attempt);
}

bool RequestForwarder::MayRelayHelp(const Attempt& attempt,
                                    Millis started) const {
  if (!attempt.member->ReadsStore()) return true;
  return !attempt.owner_replied &&
         !contacts_.Peers().HasAnsweredSince(attempt.OwnerAddress(), started);
}

void RequestForwarder::LogRelay(const JobRequest& request,
                                const Attempt& attempt,
                                const std::string& relay, Millis age) const {
  kLog.Info("event=request_relayed job=" + request.job + " cell=" +
            std::to_string(request.cell) + " owner=" + attempt.OwnerAddress() +
            " through=" + relay + " after_ms=" + std::to_string(age.count) +
            " peers=" + std::to_string(contacts_.Peers().Size()));
}

void RequestForwarder::LogNotServed(const JobRequest& request,
                                    const Search& search) const {
  const std::shared_ptr<CellMember> member = callbacks_.member(request.cell);
  const std::optional<OwnerRecord>& owner = member->KnownOwner();
  const auto flag = [](bool value) { return value ? "1" : "0"; };
  kLog.Info(
      "event=request_not_served reason=\"no owner of the cell has answered in "
      "time; the caller has to ask again\" job=" +
      request.job + " request=" + NameOf(request.kind) + " cell=" +
      std::to_string(request.cell) + " moved=" + flag(request.moved) +
      " waited_ms=" + std::to_string((Now() - search.started).count) +
      " limit_ms=" + std::to_string((search.deadline - search.started).count) +
      " attempts=" + std::to_string(search.attempts) + " in_doubt=" +
      flag(search.in_doubt) + " owner=" + (owner ? owner->node : "none") +
      " tried_owner=" + flag(!search.tried_owner.empty()) +
      " reads_store=" + flag(member->ReadsStore()) +
      " owner_changing=" + flag(member->IsChangingOwner()));
}

net::asio::awaitable<JobReply> RequestForwarder::TryPaths(
    JobRequest request, Search& search, std::optional<OwnerRecord> owner) {
  const auto attempt = std::make_shared<Attempt>(context_);
  attempt->member = callbacks_.member(request.cell);
  attempt->owner = std::move(owner);
  const std::string owner_address = attempt->OwnerAddress();
  std::vector<std::string> paths = ChooseRelays(owner_address, search);
  if (attempt->owner) {
    const bool silent = contacts_.Peers().IsSilent(owner_address, Now());
    paths.insert(silent ? paths.end() : paths.begin(), owner_address);
  }
  for (const std::string& path : paths) {
    const Millis started = Now();
    const Millis left = DeadlineOf(search) - started;
    if (left <= Millis(0)) break;
    const bool is_relay = path != owner_address;
    JobRequest copy = request;
    if (is_relay) {
      copy.relay_for = self_.address;
      search.used_relays.insert(path);
      search.relayed_at = started;
      ++counters_.relayed;
      LogRelay(request, *attempt, path, started - search.started);
    }
    StartCall(attempt, path, std::move(copy), left);
    co_await WaitForAnswer(attempt, search, settings_.relay_delay);
    if (attempt->answer) break;
    if (!is_relay && !MayRelayHelp(*attempt, started)) break;
  }
  co_await WaitForAnswer(attempt, search, DeadlineOf(search) - Now());
  if (attempt->answer) co_return *attempt->answer;
  if (attempt->pending > 0 || attempt->in_doubt) {
    if (attempt->owner) attempt->member->OnOwnerDoubted();
    co_return JobReply{ReplyKind::kInDoubt};
  }
  if (attempt->refusal) co_return *attempt->refusal;
  co_return JobReply{ReplyKind::kNotOwner};
}

void RequestForwarder::StartCall(const std::shared_ptr<Attempt>& attempt,
                                 std::string address, JobRequest request,
                                 Millis timeout) {
  ++attempt->pending;
  net::Spawn(context_,
             RunCall(attempt, std::move(address), std::move(request), timeout),
             "forwarded_call", [attempt] {
               --attempt->pending;
               attempt->in_doubt = true;
               attempt->changed.NotifyAll();
             });
}

net::asio::awaitable<void> RequestForwarder::RunCall(
    std::shared_ptr<Attempt> attempt, std::string address, JobRequest request,
    Millis timeout) {
  const bool is_relay = !request.relay_for.empty();
  request.timeout_ms = std::max(timeout - kHopMargin, Millis(1)).count;
  const Millis started = Now();
  const JobReply reply = co_await callbacks_.call_peer(
      address, request, std::max(timeout - kCallMargin, Millis(1)));
  --attempt->pending;
  if (!is_relay) {
    NoteOwnerCall(request, address, reply, started);
    attempt->owner_replied = !reply.incarnation.empty();
    NoteOwnerReply(*attempt->member, *attempt->owner, reply);
  }
  if (reply.kind == ReplyKind::kInDoubt) {
    attempt->in_doubt = true;
  } else if (IsNotServing(reply) || IsRefusal(reply)) {
    const bool better = !attempt->refusal || IsNotServing(*attempt->refusal);
    if (better) attempt->refusal = reply;
  } else if (!attempt->answer) {
    attempt->answer = reply;
    if (is_relay) ++counters_.relays_served;
  }
  attempt->changed.NotifyAll();
}

}  // namespace basilspur::cell
