#include "router/least_requests_router.h"

#include <algorithm>
#include <utility>

namespace ochrespring::router {

void LeastRequestsRouter::update(FleetViewPointer view, MonotonicTime now) {
  view_ = std::move(view);
  table_.update(*view_, now);
}

EngineSlot LeastRequestsRouter::least_loaded(const EngineTable::Group& group,
                                             const RouteRequest& request, bool prefill,
                                             MonotonicTime now) const {
  EngineSlot best = kNoSlot;
  for (std::size_t i = 0; i < group.size(); ++i) {
    const EngineSlot slot = group[(turn_ + i) % group.size()];
    const TrackedEngine& engine = table_.at(slot);
    const bool prefill_role = engine.view.role == fleet::EngineRole::kPrefill;
    const bool excluded = std::find(request.excluded.begin(), request.excluded.end(),
                                    engine.view.id) != request.excluded.end();
    if (prefill_role != prefill || excluded || !table_.dispatchable(slot, now)) {
      continue;
    }
    if (best == kNoSlot || engine.own_in_flight < table_.at(best).own_in_flight) {
      best = slot;
    }
  }
  return best;
}

RouteDecision LeastRequestsRouter::route(const RouteRequest& request, MonotonicTime now) {
  RouteDecision decision;
  if (now >= request.deadline) {
    decision.verdict = RouteVerdict::kRefuse;
    decision.reason = RefusalReason::kDeadline;
    return decision;
  }
  const EngineTable::Group* group = table_.group(request.service, request.model);
  if (group == nullptr) {
    decision.verdict = RouteVerdict::kRefuse;
    decision.reason = RefusalReason::kNoEngine;
    return decision;
  }
  ++turn_;
  const EngineSlot engine = least_loaded(*group, request, false, now);
  if (engine == kNoSlot) {
    return decision;
  }
  const EngineView& chosen = table_.at(engine).view;
  const EngineSlot prefill = least_loaded(*group, request, true, now);
  if (prefill == kNoSlot && chosen.role == fleet::EngineRole::kDecode) {
    return decision;
  }
  decision.verdict = RouteVerdict::kDispatch;
  decision.engine = chosen.id;
  decision.endpoint = chosen.endpoint;
  if (prefill != kNoSlot && chosen.role == fleet::EngineRole::kDecode) {
    decision.prefill_engine = table_.at(prefill).view.id;
    decision.prefill_endpoint = table_.at(prefill).view.endpoint;
  }
  return decision;
}

void LeastRequestsRouter::on_dispatched(const RouteRequest& request, const RouteDecision& decision,
                                        MonotonicTime now) {
  on_finished(request.id, 0, now);
  Outstanding sent;
  sent.engine = table_.find(decision.engine);
  if (decision.prefill_engine) {
    sent.prefill = table_.find(*decision.prefill_engine);
  }
  for (const EngineSlot slot : {sent.engine, sent.prefill}) {
    if (slot != kNoSlot) {
      table_.on_sent(slot, 0, 0, now);
    }
  }
  outstanding_[request.id] = sent;
}

void LeastRequestsRouter::on_first_token(const RequestId& request, Duration /*elapsed*/,
                                         MonotonicTime /*now*/) {
  const auto found = outstanding_.find(request);
  if (found != outstanding_.end() && found->second.prefill != kNoSlot) {
    table_.on_ended(found->second.prefill, 0);
    found->second.prefill = kNoSlot;
  }
}

void LeastRequestsRouter::on_finished(const RequestId& request, std::uint32_t /*output_tokens*/,
                                      MonotonicTime /*now*/) {
  const auto found = outstanding_.find(request);
  if (found == outstanding_.end()) {
    return;
  }
  for (const EngineSlot slot : {found->second.engine, found->second.prefill}) {
    if (slot != kNoSlot) {
      table_.on_ended(slot, 0);
    }
  }
  outstanding_.erase(found);
}

}  // namespace ochrespring::router
