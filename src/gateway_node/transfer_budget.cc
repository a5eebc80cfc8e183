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
  const Duration queue = free_at_ - now;
  const Duration takes = from_seconds(static_cast<double>(bytes) * kBitsPerByte /
                                      (kLinkPart * kBitsPerMegabit * link_mbps_));
  if (queue != Duration::zero() && queue + takes > kLongestQueue) {
    return false;
  }
  free_at_ += takes;
  return true;
}

}  // namespace ochrespring::gateway_node
