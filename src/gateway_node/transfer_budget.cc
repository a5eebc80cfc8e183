#include "gateway_node/transfer_budget.h"

#include <algorithm>

namespace ochrespring::gateway_node {

namespace {

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;

}  // namespace

bool TransferBudget::admit(std::size_t bytes, MonotonicTime now) {
  if (link_mbps_ == 0) {
    return true;
  }
  free_at_ = std::max(free_at_, now);
  const Duration queue_time = free_at_ - now;
  const Duration transfer_time = from_seconds(static_cast<double>(bytes) * kBitsPerByte /
                                              (kLinkFraction * kBitsPerMegabit * link_mbps_));
  if (queue_time != Duration::zero() && queue_time + transfer_time > kMaxQueueTime) {
    return false;
  }
  free_at_ += transfer_time;
  return true;
}

}  // namespace ochrespring::gateway_node
