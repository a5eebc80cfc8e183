#include "router/deficit_round_robin_queue.h"

#include <algorithm>

namespace ochrespring::router {

void DeficitRoundRobinQueue::set_weight(const TenantName& tenant, std::uint32_t weight) {
  TenantLanes::Lane& lane = lanes_.at(lanes_.lane_of(tenant));
  lane.weight = std::max(1U, weight);
  lane.configured = true;
}

bool DeficitRoundRobinQueue::push(const QueueEntry& entry) {
  const LaneIndex lane = lanes_.lane_of(entry.tenant);
  if (!lanes_.push(entry, lane)) {
    return false;
  }
  quantum_ = std::max(quantum_, entry.cost);
  TenantLanes::Lane& target = lanes_.at(lane);
  if (!target.scheduled) {
    target.scheduled = true;
    target.credit = 0;
    turns_.push_back(lane);
  }
  return true;
}

const QueueEntry* DeficitRoundRobinQueue::front() {
  while (!turns_.empty()) {
    TenantLanes::Lane& lane = lanes_.at(turns_.front());
    if (lane.entries.empty()) {
      // An idle tenant keeps no credit.
      lane.scheduled = false;
      turns_.pop_front();
      turn_started_ = false;
      continue;
    }
    if (!turn_started_) {
      lane.credit += quantum_ * lane.weight;
      turn_started_ = true;
    }
    if (lane.credit >= lane.entries.front().cost) {
      return &lane.entries.front();
    }
    turns_.splice(turns_.end(), turns_, turns_.begin());
    turn_started_ = false;
  }
  return nullptr;
}

void DeficitRoundRobinQueue::pop() {
  const QueueEntry* entry = front();
  if (entry != nullptr) {
    lanes_.at(turns_.front()).credit -= entry->cost;
    lanes_.pop_front(turns_.front());
  }
}

std::size_t DeficitRoundRobinQueue::size_of(const TenantName& tenant) const {
  const TenantLanes::Lane* lane = lanes_.find(tenant);
  return lane == nullptr ? 0 : lane->entries.size();
}

}  // namespace ochrespring::router
