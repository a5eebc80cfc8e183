// The product's router: weighs predicted first-token and between-token time, believed prefixes,
// distance and roles, and refuses early what would miss its limits. docs/design/routing.md.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "engine_model/cost_model.h"
#include "router/engine_table.h"
#include "router/prefix_belief.h"
#include "router/router.h"

namespace ochrespring::router {

/// Settings of a GoodputRouter; the switches exist so that each part can be measured alone.
struct GoodputRouterParameters {
  engine_model::CostModel cost;
  engine_model::TransferModel transfer;
  bool correct_lag = true;
  double own_weight = 1;  ///< What one own send counts for until it is in a report.
  /// What one own request that has not answered yet counts for at least, however old the report.
  double outstanding_weight = 1;
  double others_share = 0;  ///< Part of the fleet's requests that other proxies send.
  bool use_prefix_belief = false;
  bool disaggregate = true;
  bool pack_decodes = false;  ///< Fill mixed engines with decodes one after another.
  bool admit_by_prediction = false;
  /// A request waits at the proxy while every engine's backlog is above this; the queue at the
  /// proxy is where tenants are treated fairly.
  Duration dispatch_window{std::chrono::milliseconds(200)};
  double first_token_margin = 0.9;  ///< Share of the first-token limit a prediction may use.
  /// Predicted queueing is counted again this often when a request is admitted: it is the part of a
  /// prediction that other proxies' unseen sends can spoil.
  double queue_doubt = 1;
  double between_token_margin = 1.0;    ///< Share of the between-token limit a prediction may use.
  double decode_balance_seconds = 0.3;  ///< Weight of decode load in the score, per limit used.
  double packing_share = 0.8;  ///< Of the between-token limit: fuller, the next engine opens.
  /// Charged for leaving the proxy's zone. Far above the delay itself: proxies that see the same
  /// late reports would all chase the same engine, and this keeps those of other zones away.
  double zone_seconds = 0.6;
  std::uint32_t decode_role_prompt_tokens = 1024;  ///< Longest prompt a decode engine computes.
  std::size_t scanned_engines = 48;                ///< Larger groups are sampled down to this many.
  std::size_t belief_entries = 65'536;             ///< Blocks of prefixes remembered.
};

/// Counters of one router.
struct RouterStatistics {
  std::uint64_t dispatched = 0;
  std::uint64_t waited = 0;
  std::uint64_t refused = 0;
  std::uint64_t disaggregated = 0;
  std::uint64_t cache_event_gaps = 0;
};

/// Router of one proxy loop. Deterministic: `seed` decides ties, so that proxies with the same view
/// do not all pick the same engine.
class GoodputRouter final : public Router {
 public:
  GoodputRouter(const GoodputRouterParameters& parameters, std::uint64_t seed);

  void update(FleetViewPointer view, MonotonicTime now) override;
  void on_cache_events(const EngineId& engine, Incarnation incarnation,
                       const std::vector<engine::CacheEvent>& events, MonotonicTime now) override;
  RouteDecision route(const RouteRequest& request, MonotonicTime now) override;
  void on_dispatched(const RouteRequest& request, const RouteDecision& decision,
                     MonotonicTime now) override;
  void on_first_token(const RequestId& request, Duration elapsed, MonotonicTime now) override;
  void on_finished(const RequestId& request, std::uint32_t output_tokens,
                   MonotonicTime now) override;

  const RouterStatistics& statistics() const { return statistics_; }
  /// Engines tracked, those included that left and are not forgotten yet.
  std::size_t tracked_engines() const { return table_.size(); }

 private:
  /// One way to run a request.
  struct Plan {
    EngineSlot engine = kNoSlot;
    EngineSlot prefill = kNoSlot;
    double first_token = 0;
    double between_tokens = 0;
    double queueing = 0;  ///< Seconds of other requests' work before it.
    double score = 0;     ///< Lower is better.
    std::uint32_t cached_tokens = 0;
  };

  /// What a request in flight was counted as.
  struct Outstanding {
    EngineSlot engine = kNoSlot;
    EngineSlot prefill = kNoSlot;
    double context_tokens = 0;
    double backlog_tokens = 0;  ///< Prompt tokens not known to be computed yet.
  };

  void settle_prefill(Outstanding& sent);
  const fleet::Service* find_service(const ServiceName& name) const;
  std::vector<EngineSlot> candidates(const EngineTable::Group& group, const RouteRequest& request,
                                     const std::vector<PrefixHolder>& holders, MonotonicTime now);
  std::uint32_t cached_tokens(EngineSlot slot, const RouteRequest& request,
                              const std::vector<PrefixHolder>& holders) const;
  std::optional<Plan> best_plan(const std::vector<EngineSlot>& engines, const RouteRequest& request,
                                const fleet::ServiceLimits& limits,
                                const std::vector<PrefixHolder>& holders, MonotonicTime now);
  std::optional<Plan> plan_whole(EngineSlot slot, const RouteRequest& request,
                                 const fleet::ServiceLimits& limits,
                                 const std::vector<PrefixHolder>& holders, MonotonicTime now);
  std::optional<Plan> plan_split(const std::vector<EngineSlot>& engines,
                                 const RouteRequest& request, const fleet::ServiceLimits& limits,
                                 const std::vector<PrefixHolder>& holders, MonotonicTime now);
  bool fits_packing(const EngineForecast& expected, const fleet::ServiceLimits& limits) const;
  std::optional<Plan> choose_prefill(const std::vector<EngineSlot>& engines, EngineSlot decode,
                                     const RouteRequest& request,
                                     const std::vector<PrefixHolder>& holders, MonotonicTime now);
  std::optional<Plan> choose_decode(const std::vector<EngineSlot>& engines,
                                    const RouteRequest& request, const fleet::ServiceLimits& limits,
                                    MonotonicTime now);
  double distance_seconds(EngineSlot slot, const RouteRequest& request) const;
  double pressure(double between_tokens, const fleet::ServiceLimits& limits) const;
  RouteDecision route_ordinary(const EngineTable::Group& group, const RouteRequest& request,
                               MonotonicTime now);
  RouteDecision decide(const Plan& plan, const RouteRequest& request,
                       const fleet::ServiceLimits& limits, MonotonicTime now) const;
  RouteDecision refuse(RefusalReason reason);

  GoodputRouterParameters parameters_;
  std::uint64_t random_state_;
  FleetViewPointer view_;
  EngineTable table_;
  PrefixBelief belief_;
  std::unordered_map<RequestId, Outstanding> outstanding_;  ///< Bounded by requests in flight.
  RouterStatistics statistics_;
};

}  // namespace ochrespring::router
