// What the requests of one proxy loop share.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "logging/logger.h"
#include "proxy/backend.h"
#include "proxy/circuit_breaker.h"
#include "proxy/claim_service.h"
#include "proxy/retry_policy.h"
#include "proxy/statistics.h"
#include "router/router.h"

namespace ochrespring::proxy {

/// Everything a proxy reaches the world through. References outlive the proxy; one loop.
struct ProxyEnvironment {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  BackendClient& backends;
  router::Router& router;
  ClaimService& claims;
  logging::Logger& logger;
};

/// Settings of one proxy loop.
struct ProxySettings {
  NodeId node;
  ZoneName zone;
  std::uint32_t loop = 0;
  std::uint32_t most_attempts = 6;               ///< Of one request, the first included.
  std::size_t caller_buffer_bytes = 64U << 10U;  ///< Beyond it, reading from the back end stops.
  BackoffSettings backoff;
  BreakerSettings breaker;
  /// How often waiting requests are looked at when nothing else happens.
  Duration queue_poll{std::chrono::milliseconds(20)};
  double tenant_rate_share = 1;  ///< Of a tenant's rate that this loop may admit.
};

/// Identifies one request within its proxy.
using RequestTicket = std::uint64_t;

/// A routing decision, kept for `explain`.
struct DecisionRecord {
  RequestId request;  ///< As the caller knows it.
  RequestId backend_request;
  ServiceName service;
  ModelName model;
  MonotonicTime at;
  std::uint32_t attempt = 0;
  router::RouteDecision decision;
};

/// Requests in flight per engine.
class InFlightTable {
 public:
  void add(const EngineId& engine) { ++counts_[engine]; }
  void remove(const EngineId& engine);
  std::uint32_t count(const EngineId& engine) const;
  const std::unordered_map<EngineId, std::uint32_t>& counts() const { return counts_; }

 private:
  std::unordered_map<EngineId, std::uint32_t> counts_;
};

class RequestContext;

/// What a request tells its proxy.
class RequestOwner {
 public:
  virtual ~RequestOwner() = default;
  /// No engine may take the request now. False if there is no room to wait.
  virtual bool wait_for_engine(RequestTicket ticket) = 0;
  /// The request no longer waits.
  virtual void stop_waiting(RequestTicket ticket) = 0;
  /// The request has ended; it is destroyed later, not inside the call.
  virtual void on_request_finished(RequestTicket ticket) = 0;
  /// An attempt ended: an engine has room.
  virtual void on_capacity_freed() = 0;
};

/// Shared state of one loop's requests.
class RequestContext {
 public:
  RequestContext(const ProxyEnvironment& shared_environment, ProxySettings loop_settings,
                 RequestOwner& request_owner)
      : environment(shared_environment),
        settings(std::move(loop_settings)),
        owner(request_owner),
        breakers(settings.breaker) {}

  /// Takes over a snapshot.
  void set_view(router::FleetViewPointer view);
  const router::FleetViewPointer& view() const { return view_; }
  /// The engine in the current view, or null.
  const router::EngineView* find_engine(const EngineId& engine) const;
  /// Keeps a decision; the oldest are forgotten.
  void remember(DecisionRecord record);
  const std::deque<DecisionRecord>& decisions() const { return decisions_; }

  ProxyEnvironment environment;
  ProxySettings settings;
  RequestOwner& owner;
  RetryBudget retry_budget{0.1};
  BreakerTable breakers;
  InFlightTable in_flight;
  Statistics statistics;

 private:
  static constexpr std::size_t kDecisionsKept = 1024;

  router::FleetViewPointer view_;
  std::unordered_map<EngineId, const router::EngineView*> engines_;
  std::deque<DecisionRecord> decisions_;
};

}  // namespace ochrespring::proxy
