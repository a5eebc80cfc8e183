// Broadcast within a group of nodes: every record reaches every node once, over links at distances
// 1, 2, 4, ... on the group's ring, so that sending is shared evenly and each node has few
// neighbours.
//
// The group works in cycles. A cycle has one slot for reading servers and then one slot for each
// distance, the longest first: what a node learns in one slot it passes on in later ones, so that a
// record is everywhere by the end of the cycle. Nodes keep in step by following their parent, from
// which they receive a message in every cycle; the first node of the ring sets the pace.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"
#include "membership/member_view.h"

namespace ochrespring::digest {

/// One hop of a record.
struct Hop {
  std::size_t dimension = 0;  ///< To the member 2^dimension places further on.
  std::size_t range = 0;      ///< Members, the receiver among them, that it has to serve.

  bool operator==(const Hop&) const = default;
};

/// The ring as one node sees it. Views that differ for a while only cost a repeated or late record.
class BroadcastTree {
 public:
  BroadcastTree() = default;
  /// `group` in any order, this node among them.
  BroadcastTree(const membership::Member& self, std::vector<membership::Member> group);

  /// Members in ring order.
  const std::vector<membership::Member>& ring() const { return ring_; }
  std::size_t size() const { return ring_.size(); }
  std::size_t position() const { return position_; }
  /// Number of distances.
  std::size_t dimensions() const { return dimensions_; }
  /// Member at a distance.
  const membership::Member& neighbour(std::size_t dimension) const;
  /// Member that collects from this one and sets its pace; none for the first of the ring.
  const membership::Member* parent() const;

  /// Hops for a record this node has to bring to `range` members, itself among them; the longest
  /// first. An own record has the range size().
  std::vector<Hop> hops(std::size_t range) const;

 private:
  std::vector<membership::Member> ring_;
  std::size_t position_ = 0;
  std::size_t dimensions_ = 0;
};

}  // namespace ochrespring::digest
