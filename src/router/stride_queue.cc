#include "router/stride_queue.h"

#include <algorithm>

namespace ochrespring::router {

void StrideQueue::set_weight(const TenantName& tenant, std::uint32_t weight) {
  TenantLanes::Lane& lane = lanes_.at(lanes_.lane_of(tenant));
  lane.weight = std::max(1U, weight);
  lane.configured = true;
}

bool StrideQueue::push(const QueueEntry& entry) {
  const LaneIndex lane = lanes_.lane_of(entry.tenant);
  if (!lanes_.push(entry, lane)) {
    return false;
  }
  TenantLanes::Lane& target = lanes_.at(lane);
  if (!target.scheduled) {
    // A tenant that was away has saved up nothing, but still owes what it overdrew.
    target.credit = std::max(target.credit, global_pass_);
    target.scheduled = true;
    waiting_.emplace(target.credit, lane);
  }
  return true;
}

const QueueEntry* StrideQueue::front() {
  while (!waiting_.empty()) {
    TenantLanes::Lane& lane = lanes_.at(waiting_.begin()->second);
    if (!lane.entries.empty()) {
      return &lane.entries.front();
    }
    lane.scheduled = false;
    waiting_.erase(waiting_.begin());
  }
  return nullptr;
}

void StrideQueue::pop() {
  const QueueEntry* entry = front();
  if (entry == nullptr) {
    return;
  }
  const LaneIndex index = waiting_.begin()->second;
  waiting_.erase(waiting_.begin());
  TenantLanes::Lane& lane = lanes_.at(index);
  global_pass_ = std::max(global_pass_, lane.credit);
  lane.credit += entry->cost / lane.weight;
  lanes_.pop_front(index);
  lane.scheduled = !lane.entries.empty();
  if (lane.scheduled) {
    waiting_.emplace(lane.credit, index);
  }
}

std::size_t StrideQueue::size_of(const TenantName& tenant) const {
  const TenantLanes::Lane* lane = lanes_.find(tenant);
  return lane == nullptr ? 0 : lane->entries.size();
}

}  // namespace ochrespring::router
