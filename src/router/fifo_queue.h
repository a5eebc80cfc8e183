// Tenant queue in order of arrival: the yardstick for the fair ones.
#pragma once

#include <list>
#include <unordered_map>

#include "router/tenant_queue.h"

namespace ochrespring::router {

/// First in, first out over all tenants.
class FifoQueue final : public TenantQueue {
 public:
  explicit FifoQueue(const TenantQueueLimits& limits) : limits_(limits) {}

  void set_weight(const TenantName& /*tenant*/, std::uint32_t /*weight*/) override {}
  bool push(const QueueEntry& entry) override;
  const QueueEntry* front() override;
  void pop() override;
  bool remove(std::uint64_t handle) override;
  std::size_t size() const override { return entries_.size(); }
  std::size_t size_of(const TenantName& tenant) const override;

 private:
  TenantQueueLimits limits_;
  std::list<QueueEntry> entries_;
  std::unordered_map<std::uint64_t, std::list<QueueEntry>::iterator> positions_;
  std::unordered_map<TenantName, std::uint32_t> per_tenant_;  ///< Tenants that wait.
};

}  // namespace ochrespring::router
