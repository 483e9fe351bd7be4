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

bool Election::OnRecord(const OwnerRecord& record, std::int64_t offset,
                        Millis now) {
  // Records are read in several ways at once: by following the partition, and
  // by reading the newest ones.
  if (offset <= newest_offset_) return false;
  newest_offset_ = offset;
  end_ = std::max(end_, offset + 1);
  term_ = std::max(term_, record.term);
  const std::int64_t token = record.token >= 0 ? record.token : offset;
  campaign_at_.reset();
  owner_last_seen_ = now;
  overload_releases_ = record.overload_releases;
  successor_ = record.vacant ? record.successor : "";
  if (record.vacant) {
    owner_.reset();
    former_owners_ = record.former_owners;
    handed_over_ = true;
    vacated_journal_complete_ = record.journal_complete;
    // Another token's release says that this node was replaced before: the
    // replacing claim may be missed where only the newest record is read.
    token_ = -1;
    return true;
  }
  if (token != token_) former_owners_ = record.former_owners;
  if (token == offset) handed_over_ = !owner_ && former_owners_.empty();
  owner_ = record;
  owner_->token = token;
  if (token < token_) return true;
  const bool known_claim = token == token_ || token == claim_offset_;
  if (!IsMine(record) || token <= abandoned_token_ || !known_claim) {
    token_ = -1;
    return true;
  }
  // Other nodes count from when the claim was stored, and it may have been
  // stored as soon as it was sent.
  if (token_ != token) last_renewal_sent_ = last_confirmed_ = claim_sent_;
  token_ = token;
  return true;
}

void Election::OnEnd(std::int64_t end, Millis now) {
  if (!caught_up_) owner_last_seen_ = now;
  caught_up_ = true;
  end_ = std::max(end_, end);
}

void Election::OnFollowingStopped() {
  caught_up_ = false;
  campaign_at_.reset();
}

void Election::OnOwnerTerminated(const std::string& incarnation, Millis now) {
  if (!owner_ || owner_->incarnation != incarnation || Owns()) return;
  owner_last_seen_ = now - settings_.owner_timeout;
}

void Election::OnRenewed(std::int64_t offset, Millis sent, Millis now) {
  end_ = std::max(end_, offset + 1);
  last_renewal_sent_ = std::max(last_renewal_sent_, sent);
  OnConfirmed(sent);
  owner_last_seen_ = now;
}

void Election::OnConfirmed(Millis sent) {
  last_confirmed_ = std::max(last_confirmed_, sent);
}

void Election::StepDown() {
  abandoned_token_ = std::max(abandoned_token_, token_);
  token_ = -1;
}

void Election::StepDownBefore(std::int64_t token) {
  abandoned_token_ = std::max(abandoned_token_, token - 1);
  if (token_ < token) token_ = -1;
}

void Election::ScheduleCampaign(int owned, Millis now) {
  if (IsNamedSuccessor()) {
    campaign_at_ = now;
    return;
  }
  const auto jitter =
      static_cast<std::uint64_t>(settings_.campaign_jitter.count);
  campaign_at_ =
      now + Millis(static_cast<std::int64_t>(random_.Below(jitter))) +
      settings_.campaign_delay_per_cell * owned + settings_.slow_machine_delay;
  if (!successor_.empty())
    campaign_at_ = *campaign_at_ + settings_.successor_head_start;
}

bool Election::ShouldCampaign(int owned, Millis now) {
  if (!caught_up_ || Owns()) return false;
  if (owner_ && now - owner_last_seen_ < settings_.owner_timeout) {
    campaign_at_.reset();
    return false;
  }
  if (!campaign_at_) ScheduleCampaign(owned, now);
  if (now < *campaign_at_) return false;
  campaign_at_.reset();
  return true;
}

bool Election::ShouldRenew(Millis now) const {
  return Owns() && now - last_confirmed_ >= settings_.renewal_interval;
}

bool Election::IsAuthoritative(Millis now) const {
  return Owns() && now - last_renewal_sent_ < settings_.authoritative_period;
}

bool Election::IsExpired(Millis now) const {
  return Owns() && now - last_confirmed_ > settings_.expiry;
}

void Election::OnFormerOwnerStopped(const FormerOwner& owner) {
  std::erase(former_owners_, owner);
}

bool Election::IsFormerOwner(const FormerOwner& owner) const {
  return std::find(former_owners_.begin(), former_owners_.end(), owner) !=
         former_owners_.end();
}

OwnerRecord Election::MakeRecord(const std::string& address) const {
  OwnerRecord record;
  record.node = node_;
  record.incarnation = incarnation_;
  record.address = address;
  record.term = term_;
  record.former_owners = former_owners_;
  record.overload_releases = overload_releases_;
  return record;
}

OwnerRecord Election::MakeClaimRecord(const std::string& address, Millis now) {
  if (claim_offset_ != end_) claim_sent_ = now;
  claim_offset_ = end_;
  OwnerRecord record = MakeRecord(address);
  ++record.term;
  if (owner_) {
    record.former_owners.push_back(
        {owner_->node, owner_->incarnation, owner_->address});
  }
  return record;
}

OwnerRecord Election::MakeRenewalRecord(const std::string& address) const {
  OwnerRecord record = MakeRecord(address);
  record.token = token_;
  return record;
}

}  // namespace basilspur::cell
