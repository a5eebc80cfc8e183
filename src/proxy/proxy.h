// The proxy of one loop: every request it has, and what they share. Free of I/O: the daemon, the
// simulation and the tests construct this class with different environments.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control_plane/control_plane.h"
#include "proxy/demand_tracker.h"
#include "proxy/rate_limiter.h"
#include "proxy/request_context.h"
#include "proxy/request_coordinator.h"
#include "proxy/waiting_room.h"

namespace ochrespring::proxy {

/// Single-threaded: everything is called on the proxy's loop.
class Proxy final : private RequestOwner {
 public:
  Proxy(const ProxyEnvironment& environment, ProxySettings settings);
  ~Proxy() override;
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// A new fleet view: in force for all dispatches from here on.
  void on_view(router::FleetViewPointer view);
  /// Cache events of an engine arrived.
  void on_cache_events(const EngineId& engine, Incarnation incarnation,
                       const std::vector<engine::CacheEvent>& events);
  /// Takes a request; `caller` gets exactly one answer, maybe inside this call.
  RequestTicket submit(CallerRequest request, std::unique_ptr<CallerStream> caller);
  /// The caller went away; its stream is not used any more.
  void on_caller_gone(RequestTicket ticket);
  /// The caller has taken everything buffered for it.
  void on_caller_drained(RequestTicket ticket);
  /// Takes no more requests (refused as not run) and calls `done` once when the last has ended.
  void drain(std::function<void()> done);

  /// For the control loop; demand is counted from the previous report.
  control_plane::ProxyReport report();
  /// Whether no request is in flight at the engine.
  bool idle_on(const EngineId& engine) const { return context_.in_flight.count(engine) == 0; }
  /// Whether the request has not ended.
  bool is_open(RequestTicket ticket) const { return requests_.contains(ticket); }
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t waiting_requests() const { return waiting_.size(); }
  /// Decisions about a request, by the caller's id, oldest first; bounded memory.
  std::vector<DecisionRecord> explain(const RequestId& request) const;
  /// Latest decision that chose an engine, if any is remembered.
  std::optional<DecisionRecord> explain_engine(const EngineId& engine) const;
  const Statistics& statistics() const { return context_.statistics; }
  const router::FleetViewPointer& view() const { return context_.view(); }

 private:
  // RequestOwner
  bool wait_for_engine(RequestTicket ticket) override;
  void stop_waiting(RequestTicket ticket) override;
  void on_request_finished(RequestTicket ticket) override;
  void on_capacity_freed() override;

  Result<ParsedRequest, ProxyError> admit(CallerRequest request);
  void refuse(std::unique_ptr<CallerStream> caller, const RequestId& id, const ProxyError& error);
  void answer_models(std::unique_ptr<CallerStream> caller, const RequestId& id);
  std::string make_unique_id();
  void offer_turns();
  void arm_poll();
  void move_streams();
  void bury_finished();
  void check_drained();

  RequestContext context_;
  WaitingRoom waiting_;
  TenantRateLimiter rates_;
  DemandTracker demand_;
  std::unordered_map<RequestTicket, std::unique_ptr<RequestCoordinator>> requests_;
  std::vector<RequestTicket> finished_;
  std::function<void()> drained_;
  Timer poll_;
  Timer soon_;
  Timer burial_;
  std::string id_prefix_;
  RequestTicket next_ticket_ = 1;
  bool draining_ = false;
  bool offering_ = false;
};

}  // namespace ochrespring::proxy
