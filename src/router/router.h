// Routing decisions: which engine runs a request, or why none does. Pure: no I/O, time passed in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "router/fleet_view.h"

namespace ochrespring::router {

/// What the router needs to know of a request.
struct RouteRequest {
  RequestId id;
  TenantName tenant;
  ServiceName service;
  ModelName model;  ///< Empty for ordinary services.
  AdapterName adapter;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t expected_output_tokens = 0;
  std::vector<std::uint64_t>
      prompt_blocks;    ///< Chained hashes, engine::kTokensPerBlock tokens each.
  std::string session;  ///< Same value for the turns of one session; may be empty.
  std::uint8_t priority = 1;
  ZoneName origin;  ///< Zone of the proxy.
  MonotonicTime arrived;
  MonotonicTime deadline;
  bool started = false;  ///< The caller has part of the answer: not refused for limits any more.
  std::vector<EngineId> excluded;  ///< Engines that already refused or failed this request.
};

enum class RouteVerdict : std::uint8_t {
  kDispatch,
  kWait,    ///< No engine may take it now; ask again when the view or the load changes.
  kRefuse,  ///< Refuse now, as not run.
};

enum class RefusalReason : std::uint8_t {
  kNone,
  kUnknownService,
  kUnknownModel,
  kNoEngine,  ///< No engine can ever take it under this view.
  kQueueFull,
  kTenantLimit,
  kLimitsNotMet,  ///< Predicted to miss its first-token or between-token limit.
  kDeadline,
};

/// Answer of the router, with what it expected: kept for `explain`.
struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kWait;
  EngineId engine;  ///< Runs the request (decode side when disaggregated).
  Endpoint endpoint;
  std::optional<EngineId> prefill_engine;  ///< Reads the prompt first and hands its KV cache over.
  Endpoint prefill_endpoint;
  RefusalReason reason = RefusalReason::kNone;
  Duration predicted_first_token{};
  Duration predicted_between_tokens{};
  std::uint32_t cached_prompt_tokens = 0;  ///< Believed to be in the engine's prefix cache.
};

/// Chooses engines. One per proxy loop, used on that loop only.
class Router {
 public:
  virtual ~Router() = default;
  /// A new snapshot was published.
  virtual void update(FleetViewPointer view, MonotonicTime now) = 0;
  /// Cache events of one engine were read.
  virtual void on_cache_events(const EngineId& engine, Incarnation incarnation,
                               const std::vector<engine::CacheEvent>& events,
                               MonotonicTime now) = 0;
  /// Decides; changes nothing.
  virtual RouteDecision route(const RouteRequest& request, MonotonicTime now) = 0;
  /// The request was sent as decided; counts towards lag-corrected load.
  virtual void on_dispatched(const RouteRequest& request, const RouteDecision& decision,
                             MonotonicTime now) = 0;
  /// The first token arrived after `elapsed` since dispatch.
  virtual void on_first_token(const RequestId& request, Duration elapsed, MonotonicTime now) = 0;
  /// The attempt ended, for whatever reason, after `output_tokens`.
  virtual void on_finished(const RequestId& request, std::uint32_t output_tokens,
                           MonotonicTime now) = 0;
};

}  // namespace ochrespring::router
