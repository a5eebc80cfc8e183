// Order in which neighbours are probed and chosen for gossip: mostly from the own zone, some from
// the others, so that the loss of a whole zone is noticed too.
#pragma once

#include <cstddef>
#include <vector>

#include "base/ids.h"
#include "base/random.h"
#include "membership/overlay.h"

namespace ochrespring::membership {

/// Round-robin over a shuffled list of each group, shuffled again on every round, which bounds the
/// time between two probes of one neighbour.
class ProbeSchedule {
 public:
  ProbeSchedule(double remote_share, RandomSource& random)
      : remote_share_(remote_share), random_(random) {}

  /// Replaces the neighbours.
  void set_neighbours(Neighbours neighbours);
  /// Next neighbour to probe; null if there is nobody.
  const Member* next();
  /// Up to `count` distinct random neighbours; the first is from another zone if there is one.
  std::vector<Member> sample(std::size_t count);
  bool empty() const { return near_.members.empty() && far_.members.empty(); }

 private:
  struct Ring {
    std::vector<Member> members;
    std::size_t position = 0;
  };
  const Member* advance(Ring& ring);
  void shuffle(std::vector<Member>& members);

  double remote_share_;
  RandomSource& random_;
  Ring near_;
  Ring far_;
};

}  // namespace ochrespring::membership
