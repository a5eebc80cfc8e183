// One caller's request from its arrival to its outcome, through as many attempts as it needs. The
// states and transitions are those of statecharts/request_attempt.scxml.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/timer.h"
#include "proxy/answer_relay.h"
#include "proxy/attempt_runner.h"
#include "proxy/request.h"
#include "proxy/request_claim.h"
#include "proxy/request_context.h"
#include "statechart/charts/request_attempt.h"
#include "statechart/machine.h"

namespace ochrespring::proxy {

/// Single-threaded; every call comes on the proxy's loop. Free of I/O.
class RequestCoordinator final : private AttemptListener {
 public:
  using Chart = statechart::RequestAttempt;

  RequestCoordinator(RequestContext& context, RequestTicket ticket, ParsedRequest request,
                     std::unique_ptr<CallerStream> caller);
  ~RequestCoordinator() override;
  RequestCoordinator(const RequestCoordinator&) = delete;
  RequestCoordinator& operator=(const RequestCoordinator&) = delete;

  /// Routes the request for the first time. Called once, after construction.
  void start();
  /// The request waited and an engine may have room. Returns whether it still waits.
  bool route_waiting();
  /// Refuses a waiting request, certainly not run.
  void refuse(ProxyError error);
  void on_caller_gone();
  /// The caller took what was buffered for it.
  void on_caller_drained();
  /// The engine is to change: moves the request elsewhere if that goes without a cut.
  void move_off(const EngineId& engine);

  const ParsedRequest& request() const { return request_; }
  /// Engine of the running attempt, or null.
  const EngineId* running_on() const;
  bool finished() const { return machine_.finished(); }

  /// Called by the state machine.
  bool evaluate(Chart::Guard guard);
  void run(Chart::Action action);

 private:
  // AttemptListener
  void on_answer_head(const BackendResponseHead& head) override;
  void on_answer_body(std::string_view bytes) override;
  void on_answer_complete() override;
  void on_attempt_failed(const AttemptFault& fault) override;

  void post(Chart::Event event);
  void post_from_action(Chart::Event event) { posted_by_action_ = event; }
  void route();
  void choose(router::RouteDecision decision);
  void on_no_engine_now();
  void on_router_refused(router::RefusalReason reason);
  void request_claim();
  void on_claim_result(const ledger::ClaimResult& result);
  void start_attempt();
  void schedule_retry();
  void replay_recorded();
  void fail_attempt(const AttemptFault& fault);
  void end_attempt();
  bool allow_retry();
  void on_deadline();
  void note_first_answer();
  void apply_back_pressure();
  void finish();
  void count_outcome();

  RequestContext& context_;
  RequestTicket ticket_;
  ParsedRequest request_;
  AnswerRelay relay_;
  AttemptRunner attempt_;
  RequestClaim claim_;
  statechart::Machine<Chart> machine_;
  Timer deadline_;
  Timer retry_;
  router::RouteDecision decision_;
  std::vector<EngineId> failed_engines_;
  ledger::ClaimResult claim_result_;
  ProxyError error_{ProxyErrc::kBackendFailed, {}};
  MonotonicTime attempt_started_;
  std::optional<Chart::Event> posted_by_action_;
  std::uint32_t attempts_ = 0;
  bool maybe_ran_ = false;
  bool fault_is_planned_ = false;  ///< The last fault came of a planned change: retried for free.
  bool fault_is_permanent_ = false;
  bool first_answer_seen_ = false;
  bool waiting_ = false;
  bool reading_paused_ = false;
  bool caller_present_ = true;
  bool reported_ = false;
};

}  // namespace ochrespring::proxy
