#include "router/tenant_lanes.h"

#include <algorithm>
#include <iterator>

namespace ochrespring::router {

LaneIndex TenantLanes::lane_of(const TenantName& tenant) {
  const auto known = index_.find(tenant);
  if (known != index_.end()) {
    return known->second;
  }
  if (index_.size() >= forget_at_) {
    forget_idle_lanes();
  }
  auto lane = static_cast<LaneIndex>(lanes_.size());
  if (free_.empty()) {
    lanes_.emplace_back();
  } else {
    lane = free_.back();
    free_.pop_back();
    lanes_[lane] = Lane{};
  }
  lanes_[lane].tenant = tenant;
  index_[tenant] = lane;
  return lane;
}

void TenantLanes::forget_idle_lanes() {
  for (auto entry = index_.begin(); entry != index_.end();) {
    const Lane& lane = lanes_[entry->second];
    if (lane.entries.empty() && !lane.scheduled && !lane.configured) {
      free_.push_back(entry->second);
      entry = index_.erase(entry);
    } else {
      ++entry;
    }
  }
  // Doubling keeps the sweeps' cost constant for each new tenant.
  forget_at_ = std::max<std::size_t>(forget_at_, 2 * index_.size());
}

const TenantLanes::Lane* TenantLanes::find(const TenantName& tenant) const {
  const auto found = index_.find(tenant);
  return found == index_.end() ? nullptr : &lanes_[found->second];
}

bool TenantLanes::push(const QueueEntry& entry, LaneIndex lane) {
  Lane& target = lanes_[lane];
  if (size() >= limits_.total || target.entries.size() >= limits_.per_tenant) {
    return false;
  }
  target.entries.push_back(entry);
  positions_[entry.handle] = {lane, std::prev(target.entries.end())};
  return true;
}

void TenantLanes::pop_front(LaneIndex lane) {
  Lane& target = lanes_[lane];
  positions_.erase(target.entries.front().handle);
  target.entries.pop_front();
}

bool TenantLanes::remove(std::uint64_t handle) {
  const auto found = positions_.find(handle);
  if (found == positions_.end()) {
    return false;
  }
  lanes_[found->second.lane].entries.erase(found->second.entry);
  positions_.erase(found);
  return true;
}

}  // namespace ochrespring::router
