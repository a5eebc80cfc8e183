// The plain router: fewest requests of this proxy's own in flight. A baseline to compare against.
#pragma once

#include <unordered_map>

#include "router/engine_table.h"
#include "router/router.h"

namespace ochrespring::router {

/// Sends a request to the engine of a fitting role with the fewest of this proxy's requests, at
/// once and whatever the load; prompts go through a prefill engine when there is one.
class LeastRequestsRouter final : public Router {
 public:
  explicit LeastRequestsRouter(std::uint64_t seed)
      : turn_(seed), table_(EngineTable::Parameters{}) {}

  void update(FleetViewPointer view, MonotonicTime now) override;
  void on_cache_events(const EngineId& /*engine*/, Incarnation /*incarnation*/,
                       const std::vector<engine::CacheEvent>& /*events*/,
                       MonotonicTime /*now*/) override {}
  RouteDecision route(const RouteRequest& request, MonotonicTime now) override;
  void on_dispatched(const RouteRequest& request, const RouteDecision& decision,
                     MonotonicTime now) override;
  void on_first_token(const RequestId& request, Duration elapsed, MonotonicTime now) override;
  void on_finished(const RequestId& request, std::uint32_t output_tokens,
                   MonotonicTime now) override;

 private:
  struct Outstanding {
    EngineSlot engine = kNoSlot;
    EngineSlot prefill = kNoSlot;
  };

  EngineSlot least_loaded(const EngineTable::Group& group, const RouteRequest& request,
                          bool prefill, MonotonicTime now) const;

  std::uint64_t turn_;  ///< Where the search starts, so that ties go round.
  FleetViewPointer view_;
  EngineTable table_;
  std::unordered_map<RequestId, Outstanding> outstanding_;
};

}  // namespace ochrespring::router
