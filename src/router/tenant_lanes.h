// Requests of each tenant in order of arrival, with the bounds every tenant queue shares.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "router/tenant_queue.h"

namespace ochrespring::router {

/// Index of a tenant's lane; stable for the life of the queue's knowledge of the tenant.
using LaneIndex = std::uint32_t;

/// Lanes of a fair queue. Lanes of tenants whose weight was set are kept; others are forgotten when
/// idle and many, so that made-up tenant names cannot grow the memory.
class TenantLanes {
 public:
  struct Lane {
    TenantName tenant;
    double weight = 1;
    std::list<QueueEntry> entries;
    double credit = 0;        ///< Deficit or pass, as the policy needs.
    bool scheduled = false;   ///< In the policy's list of waiting lanes.
    bool configured = false;  ///< Its weight was set.
  };

  explicit TenantLanes(const TenantQueueLimits& limits) : limits_(limits) {}

  /// Lane of a tenant, created if need be.
  LaneIndex lane_of(const TenantName& tenant);
  /// Lane of a tenant, or nullptr.
  const Lane* find(const TenantName& tenant) const;
  Lane& at(LaneIndex lane) { return lanes_[lane]; }
  /// Appends to the tenant's lane; false when a bound is reached.
  bool push(const QueueEntry& entry, LaneIndex lane);
  /// Removes the first entry of a lane.
  void pop_front(LaneIndex lane);
  /// Removes an entry wherever it waits; false if it does not.
  bool remove(std::uint64_t handle);
  std::size_t size() const { return positions_.size(); }
  /// Lanes kept, idle ones included.
  std::size_t lanes() const { return index_.size(); }

 private:
  struct Position {
    LaneIndex lane = 0;
    std::list<QueueEntry>::iterator entry;
  };

  void forget_idle_lanes();

  TenantQueueLimits limits_;
  std::vector<Lane> lanes_;
  std::vector<LaneIndex> free_;
  std::size_t forget_at_ = 4096;  ///< Lanes at which idle ones are forgotten next.
  std::unordered_map<TenantName, LaneIndex> index_;
  std::unordered_map<std::uint64_t, Position> positions_;
};

}  // namespace ochrespring::router
