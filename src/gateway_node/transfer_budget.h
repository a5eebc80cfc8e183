// How many bytes of views a node takes on to send.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::gateway_node {

/// When a large fleet starts, all of it asks those few nodes that have a view already. More than a
/// node's link carries in the askers' patience reaches none of them: it serves some, and these
/// serve others. Bounded by the link, so it holds for a fleet of any size. Pure.
class TransferBudget {
 public:
  /// `link_mbps` of this machine, 0: not known, and nothing is refused.
  explicit TransferBudget(std::uint32_t link_mbps) : link_mbps_(link_mbps) {}

  /// Whether a transfer of `bytes` may begin; it then counts. One that finds the link free may,
  /// however large.
  bool admit(std::size_t bytes, MonotonicTime now);

 private:
  /// Part of the link that transfers may take; the rest is for callers.
  static constexpr double kLinkPart = 0.5;
  /// Of transfers at that pace: half of what askers wait for an answer.
  static constexpr Duration kLongestQueue{std::chrono::milliseconds(400)};

  std::uint32_t link_mbps_;
  MonotonicTime free_at_{};  ///< When what was admitted has left.
};

}  // namespace ochrespring::gateway_node
