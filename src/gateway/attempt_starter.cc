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
  attempt.started = now;
  attempt.prefill = kind == SendKind::kPrefill;
  assign_caches(attempt, choice, kind, input);
  attempt.tokens_ahead = environment_.loads.own(id).pending_prefill_tokens +
                         environment_.loads.others(id, now).pending_prefill_tokens;
  environment_.loads.begin(id, attempt.unread_tokens);
  if (input.prompt != nullptr && !attempt.continues) {
    environment_.loads.note_prompt(id, *input.prompt, now);
  }
  ++environment_.statistics.attempts;
  return attempt;
}

void AttemptStarter::assign_caches(Attempt& attempt, const PlacementChoice& choice, SendKind kind,
                                   const AttemptInput& input) {
  GatewayStatistics& counts = environment_.statistics;
  if (kind == SendKind::kContinuation) {
    attempt.continues = backup_.source();
    backup_.note_used();
    ++counts.streams_continued;
    return;
  }
  attempt.uses_cache = kind == SendKind::kRun && cache_.held();
  attempt.unread_tokens = attempt.uses_cache ? 0 : choice.prefill_tokens;
  if (!attempt.uses_cache && choice.fetch_source != nullptr) {
    attempt.cache_source = choice.fetch_source->address;
    ++counts.cache_fetches;
  }
  // A request that may end its server is not given a second one.
  if (kind == SendKind::kRun && !input.trial) {
    attempt.cache_backup = backup_.begin_run(*choice.backend, input.tried, attempt.started);
    counts.streams_replicated += attempt.cache_backup ? 1 : 0;
  }
}

void AttemptStarter::send(Attempt& attempt, const Backend& backend, const AttemptInput& input,
                          http::ResponseObserver& observer) const {
  http::ClientRequest sent =
      make_backend_request(input.request, environment_.names, make_call(attempt, backend, input));
  if (SendGate* gate = environment_.gate) {
    gate->note_send(backend.id, attempt.started);
    sent.may_leave = [gate, &clock = environment_.clock, id = backend.id] {
      return gate->may_send(id, clock.now());
    };
  }
  attempt.exchange = environment_.transport.start(std::move(sent), observer);
}

BackendCall AttemptStarter::make_call(const Attempt& attempt, const Backend& backend,
                                      const AttemptInput& input) const {
  BackendCall call;
  call.backend = &backend;
  call.left = input.left;
  call.tenant = input.tenant;
  call.prefill = attempt.prefill;
  if (input.prompt != nullptr) {
    call.priority = engine_priority(input.priority, attempt.unread_tokens);
  }
  if (attempt.uses_cache) {
    call.cache = cache_.handle();
  }
  call.cache_source = attempt.cache_source;
  call.cache_backup = attempt.cache_backup;
  call.continues = attempt.continues;
  if (call.continues) {
    // This header tells the engine that a run is named, and not a cache handle.
    call.resumes_after = input.last_event.value_or(0);
  } else if (input.answer_open) {
    call.resumes_after = input.last_event;
  }
  call.most_idle = connection_share(input.service);
  return call;
}

/// This node's part of the connections that a back end takes from all callers. Where there are more
/// nodes than connections none is kept: one for each node would be more than the back end takes.
std::size_t AttemptStarter::connection_share(const Service* service) const {
  const std::uint32_t all = service == nullptr ? 1 : service->max_connections;
  return all / std::max(1U, environment_.node_count());
}

}  // namespace ochrespring::gateway
