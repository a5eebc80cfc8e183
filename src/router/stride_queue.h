// Stride scheduling: each tenant carries a pass that advances by cost over weight, and the lowest
// pass goes next (C. Waldspurger and W. Weihl, Stride Scheduling: Deterministic
// Proportional-Share Resource Management, MIT/LCS/TM-528, 1995).
#pragma once

#include <set>
#include <utility>

#include "router/tenant_lanes.h"

namespace ochrespring::router {

/// Logarithmic time a request in the number of waiting tenants.
class StrideQueue final : public TenantQueue {
 public:
  explicit StrideQueue(const TenantQueueLimits& limits) : lanes_(limits) {}

  void set_weight(const TenantName& tenant, std::uint32_t weight) override;
  bool push(const QueueEntry& entry) override;
  const QueueEntry* front() override;
  void pop() override;
  bool remove(std::uint64_t handle) override { return lanes_.remove(handle); }
  std::size_t size() const override { return lanes_.size(); }
  std::size_t size_of(const TenantName& tenant) const override;

 private:
  TenantLanes lanes_;
  std::set<std::pair<double, LaneIndex>> waiting_;  ///< By pass.
  double global_pass_ = 0;  ///< Pass of the tenant served last; a newcomer starts here.
};

}  // namespace ochrespring::router
