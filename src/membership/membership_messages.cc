// Message handling of the membership service.
#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "membership/membership_service.h"
#include "wire/codec.h"

namespace ochrespring::membership {

namespace {
constexpr std::size_t kRelaysKept = 32;
}  // namespace

void MembershipService::on_message(const Endpoint& from, std::string_view payload) {
  const auto message = wire::decode<Message>(payload);
  if (message.has_error()) {
    ++statistics_.malformed_messages;
    return;
  }
  last_heard_ = clock_.now();
  tell_of_its_death(from);
  std::visit([&](const auto& alternative) { on(from, alternative); }, message.value());
}

void MembershipService::tell_of_its_death(const Endpoint& from) {
  const auto found = dead_endpoints_.find(from);
  if (found == dead_endpoints_.end()) {
    return;
  }
  const MemberRecord* record = table_.find(found->second);
  if (record != nullptr) {
    send(from, Gossip{{full_update(record->member)}});
  }
}

void MembershipService::on(const Endpoint& from, const Ping& message) {
  apply(from, message.updates, Source::kGossip);
  if (message.target == self_.node) {
    send(from, Ack{message.sequence, piggyback()});
  }
}

void MembershipService::on(const Endpoint& from, const Ack& message) {
  apply(from, message.updates, Source::kGossip);
  if (probe_ && probe_->sequence == message.sequence) {
    const MemberRecord* record = table_.find(probe_->target.node);
    if (record != nullptr && record->member.state == MemberState::kLeaving) {
      suspicions_.clear(probe_->target.node);
    }
    probe_.reset();
    statistics_.local_health -= statistics_.local_health > 0 ? 1 : 0;
    return;
  }
  const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& candidate) {
    return candidate.sequence == message.sequence;
  });
  if (relay != relays_.end()) {
    send(relay->asker, Ack{relay->asker_sequence, {}});
    relays_.erase(relay);
  }
}

void MembershipService::on(const Endpoint& from, const IndirectPing& message) {
  const std::uint64_t sequence = next_sequence_++;
  relays_.push_back({sequence, from, message.sequence});
  if (relays_.size() > kRelaysKept) {
    relays_.pop_front();
  }
  send(message.endpoint, Ping{sequence, message.target, {}});
}

void MembershipService::on(const Endpoint& from, const Gossip& message) {
  apply(from, message.updates, Source::kGossip);
}

void MembershipService::on(const Endpoint& from, const TableHash& message) {
  if (message.hash != table_.hash()) {
    send_bucket_hashes(from);
  }
}

void MembershipService::on(const Endpoint& from, const BucketHashes& message) {
  apply(from, {message.sender}, Source::kGossip);
  const std::vector<std::uint32_t> own = table_.bucket_hashes();
  BucketContents answer;
  answer.answer_wanted = true;
  const std::uint64_t start = random_.below(kBuckets);
  for (std::uint64_t i = 0; i < kBuckets; ++i) {
    const auto bucket = static_cast<std::uint32_t>((start + i) % kBuckets);
    const bool differs = bucket >= message.hashes.size() || message.hashes[bucket] != own[bucket];
    if (differs && answer.buckets.size() < settings_.reconcile_buckets) {
      answer.buckets.push_back(bucket);
      const std::vector<MemberUpdate> members = table_.bucket(bucket);
      answer.members.insert(answer.members.end(), members.begin(), members.end());
    }
  }
  send(from, answer);
}

void MembershipService::on(const Endpoint& from, const BucketContents& message) {
  apply(from, message.members, Source::kReconciliation);
  joined_ = joined_ || (message.answer_wanted && message.buckets.empty());
  if (!message.answer_wanted) {
    return;
  }
  std::map<NodeId, const MemberUpdate*> theirs;
  for (const MemberUpdate& update : message.members) {
    theirs[update.node] = &update;
  }
  BucketContents answer;
  answer.buckets = message.buckets;
  for (const auto& [node, record] : table_.records()) {
    const std::uint32_t bucket = bucket_of(node);
    if (std::find(message.buckets.begin(), message.buckets.end(), bucket) ==
        message.buckets.end()) {
      continue;
    }
    const auto known = theirs.find(node);
    const bool dead = record.member.state == MemberState::kDead;
    const bool lacking = known == theirs.end() && !dead;
    const bool newer =
        known != theirs.end() && supersedes(record.member.incarnation, record.member.state,
                                            known->second->incarnation, known->second->state);
    if (lacking || newer) {
      answer.members.push_back(full_update(record.member));
    }
  }
  if (!answer.members.empty()) {
    send(from, answer);
  }
}

void MembershipService::apply(const Endpoint& from, const std::vector<MemberUpdate>& updates,
                              Source source) {
  for (const MemberUpdate& update : updates) {
    apply(from, update, source);
  }
}

void MembershipService::apply(const Endpoint& from, MemberUpdate update, Source source) {
  if (update.node == self_.node) {
    apply_about_self(update);
    return;
  }
  const MemberRecord* known = table_.find(update.node);
  const bool was_known = known != nullptr;
  const bool was_living = was_known && known->member.state != MemberState::kDead;
  if (source == Source::kReconciliation && update.state == MemberState::kDead) {
    if (!was_living) {
      return;
    }
    // The far side of a partition took it for dead; let it refute first.
    update.state = MemberState::kSuspect;
  }
  if (update.state == MemberState::kSuspect) {
    const bool concerns = was_living && update.incarnation >= known->member.incarnation &&
                          known->member.state != MemberState::kLeaving;
    if (concerns) {
      accuse(update.node, update.incarnation, update.accuser);
      return;
    }
  }
  const MergeResult result = table_.merge(update, clock_.now());
  if (result == MergeResult::kOlder && update.peer == from) {
    send(from, Gossip{{full_update(table_.find(update.node)->member)}});
  }
  if (result != MergeResult::kChanged) {
    return;
  }
  suspicions_.clear(update.node);
  const bool worth_telling = source == Source::kGossip || (was_known && joined_);
  if (worth_telling) {
    queue_.push(update);
  }
  changed(update.node);
}

void MembershipService::apply_about_self(const MemberUpdate& update) {
  const bool stale = update.incarnation < self_.incarnation;
  const bool own = update.incarnation == self_.incarnation && update.state <= self_.state &&
                   update.state != MemberState::kSuspect;
  if (stale || own) {
    return;
  }
  ++statistics_.refutations;
  self_.incarnation = update.incarnation.next();
  announce_self();
}

void MembershipService::announce_self() {
  table_.merge(self_update(), clock_.now());
  queue_.push(self_update());
  changed(self_.node);
}

MemberUpdate MembershipService::self_update() const {
  return full_update(self_);
}

void MembershipService::changed(const NodeId& node) {
  const MemberRecord* record = table_.find(node);
  if (record->member.state == MemberState::kDead) {
    dead_endpoints_[record->member.peer] = node;
  } else {
    dead_endpoints_.erase(record->member.peer);
  }
  const Member member = record->member;
  const std::vector<MembershipObserver*> observers = observers_;
  for (MembershipObserver* observer : observers) {
    observer->on_member_changed(member);
  }
}

void MembershipService::refresh_schedule() {
  if (scheduled_topology_ == table_.topology()) {
    return;
  }
  scheduled_topology_ = table_.topology();
  schedule_.set_neighbours(neighbours_of(self_, table_.living(), settings_.far_neighbours));
}

void MembershipService::send_bucket_hashes(const Endpoint& to) {
  send(to, BucketHashes{self_update(), table_.bucket_hashes()});
}

void MembershipService::send(const Endpoint& to, const Message& message) {
  transport_.send(to, peer::Channel::kMembership, wire::encode(message));
}

}  // namespace ochrespring::membership
