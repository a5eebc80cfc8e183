// Deficit round robin: each waiting tenant in turn may spend a quantum in proportion to its weight
// (M. Shreedhar and G. Varghese, Efficient Fair Queuing Using Deficit Round Robin, 1995).
#pragma once

#include <list>

#include "router/tenant_lanes.h"

namespace ochrespring::router {

/// Constant time a request when the quantum covers the dearest request.
class DeficitRoundRobinQueue final : public TenantQueue {
 public:
  explicit DeficitRoundRobinQueue(const TenantQueueLimits& limits) : lanes_(limits) {}

  void set_weight(const TenantName& tenant, std::uint32_t weight) override;
  bool push(const QueueEntry& entry) override;
  const QueueEntry* front() override;
  void pop() override;
  bool remove(std::uint64_t handle) override { return lanes_.remove(handle); }
  std::size_t size() const override { return lanes_.size(); }
  std::size_t size_of(const TenantName& tenant) const override;

 private:
  TenantLanes lanes_;
  std::list<LaneIndex> turns_;
  double quantum_ = 0;         ///< Dearest request seen: one turn then serves at least one.
  bool turn_started_ = false;  ///< The first lane of `turns_` has had its quantum.
};

}  // namespace ochrespring::router
