// What all calls of one operators' server share.
#pragma once

#include <atomic>
#include <set>
#include <utility>

#include "operator_api/call_registry.h"
#include "operator_api/handlers.h"
#include "operator_api/server.h"

namespace ochrespring::operator_api {

class WatchCall;

/// Shared state; everything but `post`, `calls` and `is_stopping` is used on the control loop only.
struct ServerContext {
  ServerContext(FleetAdmin& fleet_admin, Post post_task, const Clock& clock,
                std::size_t largest_watch_count)
      : admin(fleet_admin),
        post(std::move(post_task)),
        fleet(fleet_admin, clock),
        operations(fleet_admin),
        concurrent_watches(largest_watch_count) {}

  FleetAdmin& admin;
  Post post;
  FleetHandlers fleet;
  OperationsHandlers operations;
  std::size_t concurrent_watches;
  std::atomic<bool> is_stopping = false;
  CallRegistry calls;
  ServerStatistics statistics;
  std::set<WatchCall*> watches;
};

}  // namespace ochrespring::operator_api
