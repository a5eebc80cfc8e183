#include "proxy/waiting_room.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace ochrespring::proxy {

namespace {

constexpr std::uint32_t kDefaultTenantQueue = 256;

const fleet::Tenant* find_tenant(const router::FleetView& view, const TenantName& name) {
  const auto found = std::find_if(view.tenants.begin(), view.tenants.end(),
                                  [&](const fleet::Tenant& tenant) { return tenant.name == name; });
  return found == view.tenants.end() ? nullptr : &*found;
}

/// Engine time in proportion to the tokens read and written.
double cost_of(const ParsedRequest& request) {
  return 1.0 + request.route.prompt_tokens + request.route.expected_output_tokens;
}

}  // namespace

std::optional<RequestTicket> WaitingRoom::find_victim(const Queue& queue, std::uint8_t priority) {
  if (queue.by_priority.empty()) {
    return std::nullopt;
  }
  const std::uint8_t lowest = queue.by_priority.begin()->first;
  if (lowest >= priority) {
    return std::nullopt;
  }
  // The newest of the lowest priority: the others have waited longer.
  const auto next = queue.by_priority.lower_bound({static_cast<std::uint8_t>(lowest + 1), 0});
  return std::prev(next)->second;
}

bool WaitingRoom::push(RequestTicket ticket, const ParsedRequest& request,
                       const router::FleetView& view,
                       const std::function<void(RequestTicket)>& shed) {
  const Key key{request.route.service, request.route.model};
  Queue& queue = queues_[key];
  if (!queue.order) {
    queue.order =
        router::make_tenant_queue(router::TenantQueueKind::kStride,
                                  {request.limits.queued_requests, request.limits.queued_requests});
  }
  const TenantName& tenant = request.route.tenant;
  const fleet::Tenant* known = find_tenant(view, tenant);
  const std::uint32_t tenant_limit =
      known == nullptr ? kDefaultTenantQueue : known->queued_requests;
  if (queue.order->size_of(tenant) >= tenant_limit) {
    return false;
  }
  if (known != nullptr) {
    queue.order->set_weight(tenant, known->weight);
  }
  const router::QueueEntry entry{ticket, tenant, cost_of(request)};
  if (!queue.order->push(entry)) {
    const auto victim = find_victim(queue, request.route.priority);
    if (!victim) {
      return false;
    }
    shed(*victim);
    if (!queue.order->push(entry)) {
      return false;
    }
  }
  queue.by_priority.emplace(request.route.priority, ticket);
  places_.emplace(ticket, Place{key, request.route.priority});
  return true;
}

void WaitingRoom::remove(RequestTicket ticket, bool served) {
  const auto place = places_.find(ticket);
  if (place == places_.end()) {
    return;
  }
  Queue& queue = queues_.at(place->second.key);
  queue.by_priority.erase({place->second.priority, ticket});
  const router::QueueEntry* front = queue.order->front();
  if (served && front != nullptr && front->handle == ticket) {
    queue.order->pop();
  } else {
    queue.order->remove(ticket);
  }
  places_.erase(place);
}

void WaitingRoom::offer_turns(const std::function<bool(RequestTicket)>& offer) {
  std::vector<Queue*> waiting;
  for (auto& [key, queue] : queues_) {
    if (queue.order->size() != 0) {
      waiting.push_back(&queue);
    }
  }
  for (Queue* queue : waiting) {
    const router::QueueEntry* front = queue->order->front();
    while (front != nullptr && !offer(front->handle)) {
      front = queue->order->front();
    }
  }
}

std::size_t WaitingRoom::waiting_for(const ModelName& model) const {
  std::size_t count = 0;
  for (const auto& [key, queue] : queues_) {
    if (key.second == model) {
      count += queue.order->size();
    }
  }
  return count;
}

}  // namespace ochrespring::proxy
