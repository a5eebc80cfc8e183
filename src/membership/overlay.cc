#include "membership/overlay.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <utility>

#include "base/hash.h"

namespace ochrespring::membership {

namespace {

using Ring = std::vector<const Member*>;

Ring ring_of(const std::vector<Member>& members) {
  std::vector<std::pair<std::uint64_t, const Member*>> positions;
  positions.reserve(members.size());
  for (const Member& member : members) {
    positions.emplace_back(stable_hash(member.node.value()), &member);
  }
  std::sort(positions.begin(), positions.end(), [](const auto& left, const auto& right) {
    const bool tie = left.first == right.first;
    return tie ? left.second->node < right.second->node : left.first < right.first;
  });
  Ring ring;
  ring.reserve(members.size());
  for (const auto& [hash, member] : positions) {
    ring.push_back(member);
  }
  return ring;
}

std::size_t position_of(const Ring& ring, const Member& self) {
  const auto found = std::find_if(ring.begin(), ring.end(),
                                  [&](const Member* member) { return member->node == self.node; });
  return static_cast<std::size_t>(found - ring.begin());
}

}  // namespace

std::vector<Member> ring_order(std::vector<Member> members) {
  std::vector<Member> ordered;
  ordered.reserve(members.size());
  for (const Member* member : ring_of(members)) {
    ordered.push_back(*member);
  }
  return ordered;
}

bool same_zone(const Member& left, const Member& right) {
  return left.zone == right.zone && left.region == right.region;
}

Neighbours neighbours_of(const Member& self, const std::vector<Member>& members,
                         std::size_t far_count) {
  Neighbours neighbours;
  const Ring ring = ring_of(members);
  const std::size_t position = position_of(ring, self);
  if (position == ring.size()) {
    return neighbours;
  }
  Ring zone;
  for (std::size_t step = 1; step < ring.size(); ++step) {
    const Member* member = ring[(position + step) % ring.size()];
    if (same_zone(*member, self)) {
      zone.push_back(member);
    } else if (neighbours.far.size() < far_count) {
      neighbours.far.push_back(*member);
    }
  }
  for (std::size_t distance = 1; distance <= zone.size(); distance *= 2) {
    neighbours.near.push_back(*zone[distance - 1]);
  }
  return neighbours;
}

}  // namespace ochrespring::membership
