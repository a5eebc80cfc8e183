#include "membership/member_table.h"

#include <utility>

#include "base/hash.h"

namespace ochrespring::membership {

bool supersedes(Incarnation news_incarnation, MemberState news_state, Incarnation known_incarnation,
                MemberState known_state) {
  if (news_incarnation != known_incarnation) {
    return news_incarnation > known_incarnation;
  }
  return news_state > known_state;
}

std::uint32_t bucket_of(const NodeId& node) {
  return static_cast<std::uint32_t>(stable_hash(node.value()) % kBuckets);
}

MemberUpdate full_update(const Member& member) {
  MemberUpdate update;
  update.node = member.node;
  update.incarnation = member.incarnation;
  update.state = member.state;
  update.peer = member.peer;
  update.zone = member.zone;
  update.region = member.region;
  return update;
}

MergeResult MemberTable::merge(const MemberUpdate& update, MonotonicTime now) {
  if (update.node.empty()) {
    return MergeResult::kKnown;
  }
  const auto found = records_.find(update.node);
  if (found == records_.end()) {
    if (update.peer.empty()) {
      return MergeResult::kUnknown;
    }
    MemberRecord record{
        {update.node, update.incarnation, update.peer, update.zone, update.region, update.state},
        now};
    dead_ += update.state == MemberState::kDead ? 1 : 0;
    records_.emplace(update.node, std::move(record));
    ++version_;
    ++topology_;
    return MergeResult::kChanged;
  }
  Member& known = found->second.member;
  if (!supersedes(update.incarnation, update.state, known.incarnation, known.state)) {
    const bool same = update.incarnation == known.incarnation && update.state == known.state;
    return same ? MergeResult::kKnown : MergeResult::kOlder;
  }
  const bool was_dead = known.state == MemberState::kDead;
  const bool is_dead = update.state == MemberState::kDead;
  const bool moved = !update.peer.empty() && update.peer != known.peer;
  dead_ -= was_dead ? 1 : 0;
  dead_ += is_dead ? 1 : 0;
  topology_ += was_dead != is_dead || moved ? 1 : 0;
  known.incarnation = update.incarnation;
  known.state = update.state;
  if (!update.peer.empty()) {
    known.peer = update.peer;
    known.zone = update.zone;
    known.region = update.region;
  }
  found->second.changed = now;
  ++version_;
  return MergeResult::kChanged;
}

const MemberRecord* MemberTable::find(const NodeId& node) const {
  const auto found = records_.find(node);
  return found == records_.end() ? nullptr : &found->second;
}

std::vector<Member> MemberTable::living() const {
  std::vector<Member> members;
  members.reserve(living_count());
  for (const auto& [node, record] : records_) {
    if (record.member.state != MemberState::kDead) {
      members.push_back(record.member);
    }
  }
  return members;
}

void MemberTable::forget_dead(MonotonicTime now, Duration retention, std::size_t limit) {
  while (dead_ > 0) {
    auto oldest = records_.end();
    for (auto entry = records_.begin(); entry != records_.end(); ++entry) {
      const bool dead = entry->second.member.state == MemberState::kDead;
      if (dead && (oldest == records_.end() || entry->second.changed < oldest->second.changed)) {
        oldest = entry;
      }
    }
    if (dead_ <= limit && now - oldest->second.changed < retention) {
      return;
    }
    records_.erase(oldest);
    --dead_;
    ++version_;
  }
}

void MemberTable::refresh_hashes() const {
  if (hashed_version_ == version_) {
    return;
  }
  hashes_.assign(kBuckets, 0);
  for (const auto& [node, record] : records_) {
    const Member& member = record.member;
    if (member.state == MemberState::kDead) {
      continue;
    }
    const std::uint64_t leaving = member.state == MemberState::kLeaving ? 1 : 0;
    const std::uint64_t node_hash = stable_hash(node.value());
    const std::uint64_t hash = combine_hashes(node_hash, member.incarnation.value() * 2 + leaving);
    hashes_[node_hash % kBuckets] ^= static_cast<std::uint32_t>(hash);
  }
  hashed_version_ = version_;
}

std::uint64_t MemberTable::hash() const {
  refresh_hashes();
  std::uint64_t hash = 0;
  for (const std::uint32_t bucket : hashes_) {
    hash = combine_hashes(hash, bucket);
  }
  return hash;
}

std::vector<std::uint32_t> MemberTable::bucket_hashes() const {
  refresh_hashes();
  return hashes_;
}

std::vector<MemberUpdate> MemberTable::bucket(std::uint32_t bucket) const {
  std::vector<MemberUpdate> updates;
  for (const auto& [node, record] : records_) {
    if (record.member.state != MemberState::kDead && bucket_of(node) == bucket) {
      updates.push_back(full_update(record.member));
    }
  }
  return updates;
}

}  // namespace ochrespring::membership
