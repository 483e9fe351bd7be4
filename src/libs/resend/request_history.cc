#include "resend/request_history.h"

namespace basilspur::resend {

using link::SeenAnswer;

static constexpr std::size_t kMaxStoredRequests = 500'000;

RequestVerdict RequestHistory::BeginFirst(const std::string& id, Millis now) {
  Expire(now);
  const auto found = states_.find(id);
  if (found != states_.end()) {
    switch (found->second) {
      case IdState::kRunning:
      case IdState::kQueryingPeers:
        return RequestVerdict::kRunning;
      case IdState::kAnswered:
        return RequestVerdict::kAnswered;
      case IdState::kNotRun:
      case IdState::kBlocked:
        return RequestVerdict::kSuperseded;
    }
  }
  // An earlier process of this entry may have answered a query about the
  // request and thereby blocked its first send.
  if (started_ + kMaxSendDelay > now) return RequestVerdict::kNotReady;
  if (states_.size() >= kMaxStoredRequests) return RequestVerdict::kTableFull;
  Store(id, IdState::kRunning, now);
  return RequestVerdict::kRun;
}

RequestVerdict RequestHistory::BeginResend(const std::string& id, Millis age,
                                           Millis now) {
  Expire(now);
  const auto found = states_.find(id);
  if (found != states_.end()) {
    if (found->second == IdState::kRunning ||
        found->second == IdState::kQueryingPeers) {
      return RequestVerdict::kRunning;
    }
    if (found->second == IdState::kAnswered) return RequestVerdict::kAnswered;
  }
  if (!CoversAge(age, now)) return RequestVerdict::kUnknown;
  if (found == states_.end() && states_.size() >= kMaxStoredRequests) {
    return RequestVerdict::kTableFull;
  }
  Store(id, IdState::kQueryingPeers, now);
  return RequestVerdict::kQueryPeers;
}

void RequestHistory::EndPeerQuery(const std::string& id, bool may_run) {
  const auto found = states_.find(id);
  if (found == states_.end()) return;
  found->second = may_run ? IdState::kRunning : IdState::kBlocked;
}

void RequestHistory::Finish(const std::string& id, bool ran) {
  const auto found = states_.find(id);
  if (found == states_.end()) return;
  found->second = ran ? IdState::kAnswered : IdState::kNotRun;
}

SeenAnswer RequestHistory::AnswerPeer(const std::string& id, Millis age,
                                      Millis now) {
  Expire(now);
  const auto found = states_.find(id);
  if (found == states_.end()) {
    Store(id, IdState::kBlocked, now);
    return CoversAge(age, now) ? SeenAnswer::kNever : SeenAnswer::kUnknown;
  }
  switch (found->second) {
    case IdState::kRunning:
    case IdState::kQueryingPeers:
      return SeenAnswer::kRunning;
    case IdState::kAnswered:
      return SeenAnswer::kAnswered;
    case IdState::kNotRun:
    case IdState::kBlocked:
      break;
  }
  found->second = IdState::kBlocked;
  return CoversAge(age, now) ? SeenAnswer::kNever : SeenAnswer::kUnknown;
}

bool RequestHistory::CoversAge(Millis age, Millis now) const {
  const bool within_retention = age + kAgeMargin <= kRetention;
  return within_retention && started_ + age + kAgeMargin <= now;
}

void RequestHistory::Store(const std::string& id, IdState state, Millis now) {
  const auto [found, is_new] = states_.insert_or_assign(id, state);
  if (is_new) expiry_queue_.push_back({id, now});
}

void RequestHistory::Expire(Millis now) {
  while (!expiry_queue_.empty() &&
         expiry_queue_.front().stored_at + kRetention < now) {
    const auto found = states_.find(expiry_queue_.front().id);
    if (found != states_.end()) {
      const bool in_progress = found->second == IdState::kRunning ||
                               found->second == IdState::kQueryingPeers;
      if (in_progress) {
        expiry_queue_.push_back({found->first, now});
      } else {
        states_.erase(found);
      }
    }
    expiry_queue_.pop_front();
  }
}

}  // namespace basilspur::resend
