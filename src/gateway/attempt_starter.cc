#include "gateway/attempt_starter.h"

#include <algorithm>
#include <utility>

namespace ochrespring::gateway {

Attempt AttemptStarter::make(const PlacementChoice& choice, SendKind kind,
                             const AttemptInput& input) {
  const MonotonicTime now = environment_.clock.now();
  const BackendId& id = choice.backend->id;
  Attempt attempt;
  attempt.backend = id;
  attempt.version = choice.backend->version;
  attempt.software = software_of(*choice.backend);
  attempt.started = now;
  attempt.last_heard = now;
  attempt.is_prefill_call = kind == SendKind::kPrefill;
  attempt.held = std::make_unique<HeldBytes>(environment_.held_answers);
  assign_caches(attempt, choice, kind, input);
  attempt.tokens_ahead = environment_.loads.own(id).pending_prefill_tokens +
                         environment_.loads.others(id, now).pending_prefill_tokens;
  environment_.loads.begin(id, attempt.prefill_tokens);
  if (input.prompt != nullptr && !attempt.resumed_run) {
    environment_.loads.note_prompt(id, *input.prompt, now);
  }
  ++environment_.statistics.attempts;
  return attempt;
}

void AttemptStarter::assign_caches(Attempt& attempt, const PlacementChoice& choice, SendKind kind,
                                   const AttemptInput& input) {
  GatewayStatistics& counts = environment_.statistics;
  if (kind == SendKind::kResume) {
    attempt.resumed_run = backup_.run_reference();
    backup_.mark_used();
    ++counts.resume_attempts;
    return;
  }
  attempt.uses_cache = kind == SendKind::kRun && cache_.held();
  attempt.prefill_tokens = attempt.uses_cache ? 0 : choice.prefill_tokens;
  if (!attempt.uses_cache && choice.fetch_source != nullptr) {
    attempt.cache_source = choice.fetch_source->address;
    ++counts.cache_fetches;
  }
  // A request that may crash its engine is not replicated to a second one.
  if (kind == SendKind::kRun && !input.trial) {
    attempt.cache_backup = backup_.begin_run(*choice.backend, input.tried, attempt.started);
    counts.streams_replicated += attempt.cache_backup ? 1 : 0;
  }
}

void AttemptStarter::send(Attempt& attempt, const Backend& backend, const AttemptInput& input,
                          http::ResponseObserver& observer) const {
  http::ClientRequest outgoing =
      make_backend_request(input.request, environment_.names, make_call(attempt, backend, input));
  SendGate* gate = environment_.gate;
  if (gate != nullptr) {
    gate->note_send(backend.id, attempt.started);
  }
  outgoing.may_send = [caller = input.caller, gate, &clock = environment_.clock, id = backend.id] {
    const bool open = gate == nullptr || gate->may_send(id, clock.now());
    return open && !caller->poll_closed();
  };
  attempt.exchange = environment_.transport.start(std::move(outgoing), observer);
}

BackendCall AttemptStarter::make_call(const Attempt& attempt, const Backend& backend,
                                      const AttemptInput& input) const {
  BackendCall call;
  call.backend = &backend;
  call.time_left = input.time_left;
  call.tenant = input.tenant;
  call.prefill = attempt.is_prefill_call;
  if (input.prompt != nullptr) {
    call.priority = engine_priority(input.priority, attempt.prefill_tokens);
  }
  if (attempt.uses_cache) {
    call.cache = cache_.handle();
  }
  call.cache_source = attempt.cache_source;
  call.cache_backup = attempt.cache_backup;
  call.resumed_run = attempt.resumed_run;
  if (call.resumed_run) {
    // The Last-Event-Id header tells the engine that the cache source names a run, not a cache
    // handle, so a resume always sends it.
    call.resume_after_event = input.last_event.value_or(0);
  } else if (input.head_sent) {
    call.resume_after_event = input.last_event;
  }
  call.max_idle_connections = connection_share(input.service);
  return call;
}

/// Idle connections that this node keeps: its share of those that a back end accepts from all
/// nodes. It is 0 if there are more nodes than connections, since one per node would exceed the
/// limit.
std::size_t AttemptStarter::connection_share(const Service* service) const {
  const std::uint32_t all = service == nullptr ? 1 : service->max_connections;
  return all / std::max(1U, environment_.node_count());
}

}  // namespace ochrespring::gateway
