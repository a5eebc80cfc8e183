// Limits how many bytes of views a node sends at a time.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::gateway_node {

/// Admits transfers of views up to the capacity of the node's link. When a large fleet starts, all
/// nodes request a view from the few that have one. If a node accepted more than its link can send
/// before the requests time out, none of the transfers would complete. It therefore serves some
/// nodes, which serve others. The limit depends only on the link, so it suits a fleet of any size.
/// Performs no input or output.
class TransferBudget {
 public:
  /// `link_mbps` is the speed of this machine's link; 0 if unknown, then all transfers are
  /// admitted.
  explicit TransferBudget(std::uint32_t link_mbps) : link_mbps_(link_mbps) {}

  /// Returns whether a transfer of `bytes` may begin, and counts it if so. A transfer of any size
  /// is admitted while the link is free.
  bool admit(std::size_t bytes, MonotonicTime now);

 private:
  /// Fraction of the link that transfers may use; the rest is for callers.
  static constexpr double kLinkFraction = 0.5;
  /// Limit for the time that queued transfers take at that speed: half of the timeout of requests
  /// for views.
  static constexpr Duration kMaxQueueTime{std::chrono::milliseconds(400)};

  std::uint32_t link_mbps_;
  MonotonicTime free_at_{};  ///< When all admitted transfers will have been sent.
};

}  // namespace ochrespring::gateway_node
