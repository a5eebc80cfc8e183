#include "gateway/retry_limit.h"

#include <utility>

namespace ochrespring::gateway {

void RetryLimit::begin(const ServiceName& service) {
  retries_ = std::make_shared<RequestRetries>(environment_.budget, environment_.clock, service);
}

std::string_view RetryLimit::acquire(bool trial, Duration left) {
  if (trial) {
    return "trial";
  }
  if (is_last_attempt(nullptr)) {
    return "attempts of the route";
  }
  if (left < kMinAttemptTime) {
    return "no time left";
  }
  return charge_send() ? "" : "retry budget";
}

void RetryLimit::begin_send(Attempt& attempt) {
  if (attempt.is_prefill_call || !next_send_) {
    attempt.pending.emplace(retries_);
  } else {
    attempt.pending = std::exchange(next_send_, std::nullopt);
  }
}

void RetryLimit::note_answer(Attempt& attempt) {
  attempt.pending.reset();
  environment_.unanswered.note_answer(attempt.backend, attempt.started);
}

void RetryLimit::end_send(Attempt& attempt, AttemptOutcome verdict) {
  std::optional<PendingSend> pending = std::exchange(attempt.pending, std::nullopt);
  if (!pending) {
    return;
  }
  const bool unsent =
      verdict == AttemptOutcome::kNotSent || verdict == AttemptOutcome::kUnreachable;
  if (unsent && !attempt.is_prefill_call) {
    next_send_ = std::move(pending);
  } else if (!unsent && attempt.exchange->sent()) {
    ++environment_.statistics.sends_unanswered;
    environment_.unanswered.add(attempt.backend, std::move(*pending), environment_.clock.now());
  }
}

/// Charges one retry and keeps the charge open until the next send.
bool RetryLimit::charge() {
  const std::uint32_t nodes = environment_.node_count();
  const MonotonicTime now = environment_.clock.now();
  environment_.unanswered.drop_expired(now);
  const bool granted = retries_->charge(nodes);
  ++(granted ? environment_.statistics.retries : environment_.statistics.budget_denied);
  const ServiceName& service = retries_->service();
  log_.note_retry_charge(granted, service, environment_.budget.use(service, nodes, now), nodes);
  if (granted && !next_send_) {
    next_send_.emplace(retries_);
  }
  return granted;
}

}  // namespace ochrespring::gateway
