#include "router/fifo_queue.h"

#include <iterator>

namespace ochrespring::router {

bool FifoQueue::push(const QueueEntry& entry) {
  if (entries_.size() >= limits_.total || size_of(entry.tenant) >= limits_.per_tenant) {
    return false;
  }
  entries_.push_back(entry);
  positions_[entry.handle] = std::prev(entries_.end());
  ++per_tenant_[entry.tenant];
  return true;
}

const QueueEntry* FifoQueue::front() {
  return entries_.empty() ? nullptr : &entries_.front();
}

void FifoQueue::pop() {
  if (!entries_.empty()) {
    remove(entries_.front().handle);
  }
}

bool FifoQueue::remove(std::uint64_t handle) {
  const auto found = positions_.find(handle);
  if (found == positions_.end()) {
    return false;
  }
  const auto count = per_tenant_.find(found->second->tenant);
  if (--count->second == 0) {
    per_tenant_.erase(count);
  }
  entries_.erase(found->second);
  positions_.erase(found);
  return true;
}

std::size_t FifoQueue::size_of(const TenantName& tenant) const {
  const auto found = per_tenant_.find(tenant);
  return found == per_tenant_.end() ? 0 : found->second;
}

}  // namespace ochrespring::router
