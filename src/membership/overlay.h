// Neighbours a node talks to: a bounded set that needs no agreement, so that the number of open
// connections grows with the logarithm of the fleet.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/member_view.h"

namespace ochrespring::membership {

/// Neighbours of one node.
struct Neighbours {
  std::vector<Member> near;  ///< Same zone, at distances 1, 2, 4, ... on the zone's ring.
  std::vector<Member> far;   ///< Next members of other zones on the ring of all.
};

/// Members ordered by the hash of their node ids, ties by id.
std::vector<Member> ring_order(std::vector<Member> members);

/// Whether two members share a zone of one region.
bool same_zone(const Member& left, const Member& right);

/// Neighbours of `self` among `members`. Each member is a neighbour of about as many others as it
/// has neighbours itself. When a member is dropped, those after it on the ring get its neighbours,
/// so that even after the loss of a zone every member is somebody's neighbour.
Neighbours neighbours_of(const Member& self, const std::vector<Member>& members,
                         std::size_t far_count);

}  // namespace ochrespring::membership
