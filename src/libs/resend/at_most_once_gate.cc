#include "resend/at_most_once_gate.h"

#include <utility>
#include <vector>

namespace basilspur::resend {

using link::SeenAnswer;

static RequestVerdict VerdictOf(SeenAnswer answer) {
  switch (answer) {
    case SeenAnswer::kNever:
      return RequestVerdict::kRun;
    case SeenAnswer::kRunning:
      return RequestVerdict::kRunning;
    case SeenAnswer::kAnswered:
      return RequestVerdict::kAnswered;
    case SeenAnswer::kUnknown:
      break;
  }
  return RequestVerdict::kUnknown;
}

/// The verdict with the higher precedence. In descending order: the request
/// ran, it is running, its state is unknown, it was never run.
static RequestVerdict HigherPrecedence(RequestVerdict a, RequestVerdict b) {
  for (const RequestVerdict verdict :
       {RequestVerdict::kAnswered, RequestVerdict::kRunning,
        RequestVerdict::kUnknown}) {
    if (a == verdict || b == verdict) return verdict;
  }
  return RequestVerdict::kRun;
}

AtMostOnceGate::AtMostOnceGate(const Clock& clock,
                               AtMostOnceGateCallbacks callbacks)
    : clock_(clock),
      callbacks_(std::move(callbacks)),
      history_(clock.Monotonic()) {}

RequestVerdict AtMostOnceGate::BeginFirst(const std::string& id) {
  // A peer that has not discovered this entry would not query it about a
  // resend.
  if (!callbacks_.known_to_all()) return RequestVerdict::kNotReady;
  const std::lock_guard lock(mutex_);
  return history_.BeginFirst(id, clock_.Monotonic());
}

void AtMostOnceGate::BeginResend(const std::string& id, Millis age, Millis wait,
                                 DoneCallback done) {
  const PeersToQuery peers = callbacks_.peers(age);
  const bool is_known_to_all = callbacks_.known_to_all();
  std::unique_lock lock(mutex_);
  const Millis now = clock_.Monotonic();
  const RequestVerdict verdict = history_.BeginResend(id, age, now);
  if (verdict != RequestVerdict::kQueryPeers) {
    lock.unlock();
    done(verdict);
    return;
  }
  const std::uint64_t query = ++last_query_;
  const bool can_decide = is_known_to_all && peers.complete;
  const RequestVerdict combined_verdict =
      can_decide ? RequestVerdict::kRun : RequestVerdict::kUnknown;
  const auto [pending, is_new] = pending_queries_.emplace(
      query, PendingQuery{id, peers.names, now + wait, combined_verdict,
                          std::move(done)});
  if (peers.names.empty()) {
    CompleteQuery(pending, lock);
    return;
  }
  lock.unlock();
  std::vector<std::string> unreachable_peers;
  for (const auto& name : peers.names) {
    const link::SeenQuery message{query, id, age.count};
    if (!callbacks_.send(name, message)) unreachable_peers.push_back(name);
  }
  for (const auto& name : unreachable_peers) {
    OnReply(name, {query, SeenAnswer::kUnknown});
  }
}

void AtMostOnceGate::Finish(const std::string& id, bool ran) {
  const std::lock_guard lock(mutex_);
  history_.Finish(id, ran);
}

void AtMostOnceGate::OnMessage(const std::string& peer,
                               const link::Message& message) {
  if (const auto* query = std::get_if<link::SeenQuery>(&message)) {
    link::SeenReply reply{query->query, SeenAnswer::kUnknown};
    {
      const std::lock_guard lock(mutex_);
      reply.answer = history_.AnswerPeer(
          query->request_id, Millis(query->age_ms), clock_.Monotonic());
    }
    callbacks_.send(peer, reply);
  } else if (const auto* reply = std::get_if<link::SeenReply>(&message)) {
    OnReply(peer, *reply);
  }
}

void AtMostOnceGate::OnReply(const std::string& peer,
                             const link::SeenReply& reply) {
  std::unique_lock lock(mutex_);
  const auto pending = pending_queries_.find(reply.query);
  if (pending == pending_queries_.end()) return;
  if (pending->second.unanswered_peers.erase(peer) == 0) return;
  pending->second.combined_verdict = HigherPrecedence(
      pending->second.combined_verdict, VerdictOf(reply.answer));
  if (pending->second.unanswered_peers.empty()) CompleteQuery(pending, lock);
}

void AtMostOnceGate::CompleteQuery(
    std::map<std::uint64_t, PendingQuery>::iterator pending,
    std::unique_lock<std::mutex>& lock) {
  const PendingQuery completed = std::move(pending->second);
  pending_queries_.erase(pending);
  history_.EndPeerQuery(completed.id,
                        completed.combined_verdict == RequestVerdict::kRun);
  lock.unlock();
  completed.done(completed.combined_verdict);
}

void AtMostOnceGate::Sweep() {
  const Millis now = clock_.Monotonic();
  for (;;) {
    std::unique_lock lock(mutex_);
    auto overdue = pending_queries_.begin();
    while (overdue != pending_queries_.end() &&
           overdue->second.deadline > now) {
      ++overdue;
    }
    if (overdue == pending_queries_.end()) return;
    overdue->second.combined_verdict = HigherPrecedence(
        overdue->second.combined_verdict, RequestVerdict::kUnknown);
    CompleteQuery(overdue, lock);
  }
}

std::size_t AtMostOnceGate::Size() const {
  const std::lock_guard lock(mutex_);
  return history_.Size();
}

}  // namespace basilspur::resend
