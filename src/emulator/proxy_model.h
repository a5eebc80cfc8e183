// One emulated proxy: the production router and tenant queues, with the emulator as its network.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "emulator/policy.h"
#include "emulator/request_state.h"
#include "planner/planner.h"
#include "router/router.h"
#include "router/tenant_queue.h"
#include "workload/workload.h"

namespace ochrespring::emulator {

/// What a proxy asks of the emulator.
class ProxyHost {
 public:
  virtual ~ProxyHost() = default;
  virtual RequestState& request(RequestIndex index) = 0;
  /// Sends the next attempt of a request.
  virtual void dispatch(RequestIndex index, const router::RouteDecision& decision) = 0;
  /// Gives the caller its final answer.
  virtual void finish(RequestIndex index, RequestOutcome outcome) = 0;
};

/// Demand a proxy saw since it was last asked.
struct ProxyDemand {
  double requests = 0;
  double prefill_tokens = 0;  ///< Believed cached tokens are left out.
  double decode_tokens = 0;   ///< By the running estimate of output lengths.
};

/// Proxy of one zone.
class ProxyModel {
 public:
  ProxyModel(const PolicyConfiguration& policy, const std::vector<workload::TenantShare>& tenants,
             Duration first_token_limit, std::uint64_t seed, ProxyHost& host);

  /// A request arrived from a caller.
  void on_arrival(RequestIndex index, MonotonicTime now);
  /// A new snapshot is there.
  void on_view(router::FleetViewPointer view, MonotonicTime now);
  void on_cache_events(const EngineId& engine, Incarnation incarnation,
                       const std::vector<engine::CacheEvent>& events, MonotonicTime now);
  void on_first_token(RequestIndex index, MonotonicTime now);
  void on_finished(RequestIndex index, MonotonicTime now);
  /// The attempt ended without its whole answer and may go on elsewhere.
  void on_broken(RequestIndex index, MonotonicTime now);
  /// Sends what can be sent; drops what is late if the policy says so.
  void pump(MonotonicTime now);

  /// Demand since the last call.
  ProxyDemand take_demand();
  /// Requests waiting.
  std::size_t waiting() const;
  /// Expected output tokens of a prompt of this length, learned from answers.
  double expected_output(std::uint32_t prompt_tokens) const;
  /// Every request waiting, in no order that matters; the proxy forgets them. For a proxy that
  /// dies.
  std::vector<RequestIndex> abandon();

 private:
  /// Waiting requests of one kind of service.
  struct Lane {
    std::unique_ptr<router::TenantQueue> queue;
    std::deque<RequestIndex> order;  ///< By arrival; may hold requests that have left.
  };

  void pump_lane(Lane& lane, MonotonicTime now);
  void pump_retries(MonotonicTime now);
  void drop_late(Lane& lane, MonotonicTime now);
  /// Whether the request got its verdict.
  bool try_route(RequestIndex index, MonotonicTime now);
  void count_demand(const RequestState& state, const router::RouteDecision& decision);
  void learn_output(std::uint32_t prompt_tokens, std::uint32_t output_tokens);

  const PolicyConfiguration& policy_;
  Duration first_token_limit_;
  ProxyHost& host_;
  std::unique_ptr<router::Router> router_;
  Lane model_lane_;
  Lane ordinary_lane_;
  std::deque<RequestIndex> retries_;  ///< Already counted by the tenant queue once.
  std::vector<double> output_means_;  ///< By power of two of the prompt's length.
  ProxyDemand demand_;
};

}  // namespace ochrespring::emulator
