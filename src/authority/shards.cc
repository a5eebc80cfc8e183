#include "authority/shards.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/hash.h"

namespace ochrespring::authority {

namespace {

using membership::Member;
using membership::MemberState;

constexpr std::size_t kSmallestSafeElectorate = 3;

std::vector<Member> available(const std::vector<Member>& members) {
  std::vector<Member> result;
  std::copy_if(members.begin(), members.end(), std::back_inserter(result), is_available);
  return result;
}

void sort_by_weight(std::vector<Member>::iterator first, std::vector<Member>::iterator last,
                    const std::string& key) {
  std::sort(first, last, [&](const Member& left, const Member& right) {
    const auto left_weight = rendezvous_weight(key, left.node.value());
    const auto right_weight = rendezvous_weight(key, right.node.value());
    return std::pair(left_weight, left.node) > std::pair(right_weight, right.node);
  });
}

std::size_t largest_odd(std::size_t count) {
  return count % 2 == 0 ? count - std::min<std::size_t>(count, 1) : count;
}

}  // namespace

bool is_available(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

ShardId shard_of(const ServerId& server, std::uint32_t shards) {
  const std::uint32_t count = std::max<std::uint32_t>(shards, 1);
  return ShardId(static_cast<std::uint32_t>(stable_hash(server.value()) % count));
}

std::vector<Member> rank_candidates(const ShardKey& key, const std::vector<Member>& members) {
  std::vector<Member> candidates = available(members);
  const auto local_end =
      std::partition(candidates.begin(), candidates.end(),
                     [&](const Member& member) { return member.zone == key.zone; });
  if (local_end != candidates.begin()) {
    candidates.erase(local_end, candidates.end());
  }
  sort_by_weight(candidates.begin(), candidates.end(),
                 key.zone.value() + "/" + std::to_string(key.shard.value()));
  return candidates;
}

std::vector<Member> rank_voters(const ZoneName& zone, const std::vector<Member>& members) {
  std::vector<Member> candidates = available(members);
  const auto local_end = std::partition(candidates.begin(), candidates.end(),
                                        [&](const Member& member) { return member.zone == zone; });
  sort_by_weight(candidates.begin(), local_end, zone.value());
  sort_by_weight(local_end, candidates.end(), zone.value());
  return candidates;
}

std::size_t electorate_size(const ZoneName& zone, const std::vector<Member>& members,
                            std::size_t largest) {
  const std::vector<Member> all = available(members);
  const auto local = static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [&](const Member& member) { return member.zone == zone; }));
  if (local >= kSmallestSafeElectorate) {
    return largest_odd(std::min(local, largest));
  }
  return largest_odd(std::min(all.size(), kSmallestSafeElectorate));
}

}  // namespace ochrespring::authority
