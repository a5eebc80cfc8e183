#include "digest/broadcast_tree.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "membership/overlay.h"

namespace ochrespring::digest {

BroadcastTree::BroadcastTree(const membership::Member& self, std::vector<membership::Member> group)
    : ring_(membership::ring_order(std::move(group))) {
  const auto found = std::find_if(ring_.begin(), ring_.end(),
                                  [&](const auto& member) { return member.node == self.node; });
  position_ = found == ring_.end() ? 0 : static_cast<std::size_t>(found - ring_.begin());
  dimensions_ = ring_.size() > 1 ? std::bit_width(ring_.size() - 1) : 0;
}

const membership::Member& BroadcastTree::neighbour(std::size_t dimension) const {
  const std::size_t distance = std::size_t{1} << dimension;
  return ring_[(position_ + distance) % ring_.size()];
}

const membership::Member* BroadcastTree::parent() const {
  if (position_ == 0 || ring_.empty()) {
    return nullptr;
  }
  // Clearing the lowest bit leads towards the first member over one of the ring's links.
  return &ring_[position_ & (position_ - 1)];
}

std::vector<Hop> BroadcastTree::hops(std::size_t range) const {
  std::vector<Hop> hops;
  std::size_t left = std::min(range, ring_.size());
  while (left > 1) {
    const std::size_t dimension = std::bit_width(left - 1) - 1;
    const std::size_t distance = std::size_t{1} << dimension;
    hops.push_back({dimension, left - distance});
    left = distance;
  }
  return hops;
}

}  // namespace ochrespring::digest
