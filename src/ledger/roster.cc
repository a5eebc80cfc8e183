#include "ledger/roster.h"

#include <algorithm>
#include <map>
#include <string>

#include "base/hash.h"
#include "wire/codec.h"

namespace ochrespring::ledger {

namespace {

using membership::Member;

std::string partition_label(PartitionId partition) {
  return "ledger-partition-" + std::to_string(partition.value());
}

void sort_by_weight(std::vector<Member>& members, const std::string& label) {
  std::sort(members.begin(), members.end(), [&label](const Member& left, const Member& right) {
    const auto left_weight = rendezvous_weight(label, left.node.value());
    const auto right_weight = rendezvous_weight(label, right.node.value());
    return std::tie(right_weight, left.node) < std::tie(left_weight, right.node);
  });
}

/// Takes one node per zone in turn, so that the first nodes stand in different zones.
std::vector<Member> interleave_zones(const std::vector<Member>& sorted) {
  std::map<ZoneName, std::uint32_t> taken;
  std::vector<std::pair<std::uint32_t, Member>> rounds;
  rounds.reserve(sorted.size());
  for (const Member& member : sorted) {
    rounds.emplace_back(taken[member.zone]++, member);
  }
  std::stable_sort(rounds.begin(), rounds.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<Member> ranked;
  ranked.reserve(rounds.size());
  for (auto& [round, member] : rounds) {
    ranked.push_back(std::move(member));
  }
  return ranked;
}

}  // namespace

std::size_t majority_of(std::size_t replicas) {
  return replicas / 2 + 1;
}

PartitionId partition_of(const ClaimKey& key, std::size_t partitions) {
  const std::uint64_t hash = stable_hash(wire::encode(key));
  return PartitionId(static_cast<std::uint32_t>(hash % partitions));
}

std::vector<Member> rank_candidates(PartitionId partition, const std::vector<Member>& members) {
  const std::string label = partition_label(partition);
  std::map<RegionName, std::vector<Member>> by_region;
  for (const Member& member : members) {
    by_region[member.region].push_back(member);
  }
  std::vector<std::pair<std::uint64_t, RegionName>> regions;
  regions.reserve(by_region.size());
  for (const auto& [region, nodes] : by_region) {
    regions.emplace_back(rendezvous_weight(label, region.value()), region);
  }
  std::sort(regions.rbegin(), regions.rend());
  std::vector<Member> ranked;
  for (const auto& [weight, region] : regions) {
    auto& nodes = by_region[region];
    sort_by_weight(nodes, label);
    for (Member& member : interleave_zones(nodes)) {
      ranked.push_back(std::move(member));
    }
  }
  return ranked;
}

}  // namespace ochrespring::ledger
