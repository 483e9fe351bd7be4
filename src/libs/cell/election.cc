#include "cell/election.h"

#include <algorithm>
#include <utility>

namespace basilspur::cell {

Election::Election(ElectionSettings settings, std::string node,
                   std::string incarnation, std::uint64_t seed)
    : settings_(settings),
      node_(std::move(node)),
      incarnation_(std::move(incarnation)),
      random_(seed) {}

bool Election::IsMine(const OwnerRecord& record) const {
  return record.node == node_ && record.incarnation == incarnation_;
}

void Election::OnRecord(const OwnerRecord& record, std::int64_t offset,
                        Millis now) {
  end_ = std::max(end_, offset + 1);
  term_ = std::max(term_, record.term);
  const std::int64_t token = record.token >= 0 ? record.token : offset;
  run_at_.reset();
  seen_ = now;
  if (record.vacant) {
    owner_.reset();
    former_ = record.former;
    handed_over_ = true;
    vacated_whole_ = record.whole;
    if (token == token_) token_ = -1;
    return;
  }
  if (token != token_) former_ = record.former;
  if (token == offset) handed_over_ = !owner_ && former_.empty();
  owner_ = record;
  owner_->token = token;
  if (token < token_) return;
  if (!IsMine(record) || token <= abandoned_token_) {
    token_ = -1;
    return;
  }
  if (token_ != token) renewed_ = now;
  token_ = token;
}

void Election::OnEnd(std::int64_t end, Millis now) {
  if (!read_) seen_ = now;
  read_ = true;
  end_ = std::max(end_, end);
}

void Election::OnOwnerDead(const std::string& incarnation, Millis now) {
  if (!owner_ || owner_->incarnation != incarnation || Owns()) return;
  seen_ = now - settings_.silence;
}

void Election::OnRenewed(std::int64_t offset, Millis sent, Millis now) {
  end_ = std::max(end_, offset + 1);
  renewed_ = std::max(renewed_, sent);
  seen_ = now;
}

void Election::StepDown() {
  abandoned_token_ = std::max(abandoned_token_, token_);
  token_ = -1;
}

void Election::Draw(int owned, Millis now) {
  const auto spread = static_cast<std::uint64_t>(settings_.spread.count);
  run_at_ = now + Millis(static_cast<std::int64_t>(random_.Below(spread))) +
            settings_.burden * owned + settings_.handicap;
}

bool Election::ShouldRun(int owned, Millis now) {
  if (!read_ || Owns()) return false;
  if (owner_ && now - seen_ < settings_.silence) {
    run_at_.reset();
    return false;
  }
  if (!run_at_) Draw(owned, now);
  if (now < *run_at_) return false;
  run_at_.reset();
  return true;
}

bool Election::ShouldRenew(Millis now) const {
  return Owns() && now - renewed_ >= settings_.renewal;
}

bool Election::IsFresh(Millis now) const {
  return Owns() && now - renewed_ < settings_.fresh;
}

bool Election::IsOrphaned(Millis now) const {
  return Owns() && now - renewed_ > settings_.orphaned;
}

void Election::OnFormerGone(const FormerOwner& gone) {
  std::erase(former_, gone);
}

OwnerRecord Election::BeginRecord(const std::string& address) const {
  OwnerRecord record;
  record.node = node_;
  record.incarnation = incarnation_;
  record.address = address;
  record.term = term_ + 1;
  record.former = former_;
  if (owner_) {
    record.former.push_back(
        {owner_->node, owner_->incarnation, owner_->address});
  }
  return record;
}

OwnerRecord Election::RenewalRecord(const std::string& address) const {
  OwnerRecord record = BeginRecord(address);
  record.token = token_;
  record.term = term_;
  record.former = former_;
  return record;
}

}  // namespace basilspur::cell
