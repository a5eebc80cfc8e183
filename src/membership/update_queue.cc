#include "membership/update_queue.h"

#include <algorithm>

namespace ochrespring::membership {

namespace {
constexpr std::size_t kFixedBytes = 16;  // Lengths, state, incarnation and accuser.
}  // namespace

std::size_t encoded_bytes(const MemberUpdate& update) {
  return kFixedBytes + update.node.value().size() + update.peer.value().size() +
         update.zone.value().size() + update.region.value().size();
}

void UpdateQueue::push(const MemberUpdate& update) {
  entries_[update.node] = Entry{update, 0};
}

std::vector<MemberUpdate> UpdateQueue::take(std::size_t bytes, std::size_t transmissions) {
  std::vector<Entry*> order;
  order.reserve(entries_.size());
  for (auto& [node, entry] : entries_) {
    order.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Entry* left, const Entry* right) { return left->sent < right->sent; });
  std::vector<MemberUpdate> taken;
  std::size_t used = 0;
  for (Entry* entry : order) {
    const std::size_t size = encoded_bytes(entry->update);
    if (used + size > bytes) {
      break;
    }
    used += size;
    ++entry->sent;
    taken.push_back(entry->update);
  }
  std::erase_if(entries_, [&](const auto& item) { return item.second.sent >= transmissions; });
  return taken;
}

}  // namespace ochrespring::membership
