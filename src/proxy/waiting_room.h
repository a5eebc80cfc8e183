// Requests that wait for an engine, in bounded queues shared between tenants by weight.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "proxy/request.h"
#include "proxy/request_context.h"
#include "router/tenant_queue.h"

namespace ochrespring::proxy {

/// One queue per service and model, so that a model without engines holds up no other. Pure.
class WaitingRoom {
 public:
  /// Adds a request. When its queue is full, a waiting request of the lowest priority below its own
  /// is given up through `shed`; without one, or beyond the tenant's own bound, the answer is
  /// false.
  bool push(RequestTicket ticket, const ParsedRequest& request, const router::FleetView& view,
            const std::function<void(RequestTicket)>& shed);
  /// Takes a request out; `served` charges its tenant.
  void remove(RequestTicket ticket, bool served);
  /// Offers the request whose turn it is in each queue; `offer` returns whether it still waits.
  /// Goes on in a queue while its requests leave.
  void offer_turns(const std::function<bool(RequestTicket)>& offer);
  bool empty() const { return places_.empty(); }
  std::size_t size() const { return places_.size(); }
  /// Requests waiting for a model.
  std::size_t waiting_for(const ModelName& model) const;

 private:
  using Key = std::pair<ServiceName, ModelName>;
  struct Queue {
    std::unique_ptr<router::TenantQueue> order;
    std::set<std::pair<std::uint8_t, RequestTicket>> by_priority;  ///< Lowest first.
  };
  struct Place {
    Key key;
    std::uint8_t priority = 0;
  };

  static std::optional<RequestTicket> find_victim(const Queue& queue, std::uint8_t priority);

  std::map<Key, Queue> queues_;
  std::unordered_map<RequestTicket, Place> places_;
};

}  // namespace ochrespring::proxy
