#include "gateway/open_attempts.h"

#include <algorithm>
#include <utility>

namespace ochrespring::gateway {

void OpenAttempts::set_request(const ServiceName& service, const Prompt* prompt) {
  service_ = service;
  prompt_ = prompt;
}

void OpenAttempts::start(Attempt attempt, AttemptEvents& events) {
  keep_current_open();
  current_ = std::make_unique<Attempt>(std::move(attempt));
  current_->observer = std::make_unique<AttemptObserver>(events, *current_);
}

bool OpenAttempts::select(Attempt& attempt) {
  if (&attempt == current_.get()) {
    return false;
  }
  const auto found = std::find_if(others_.begin(), others_.end(),
                                  [&](const auto& other) { return other.get() == &attempt; });
  std::unique_ptr<Attempt> selected = std::move(*found);
  others_.erase(found);
  keep_current_open();
  current_ = std::move(selected);
  deps_.backup.restore_run(std::move(current_->replicated));
  return true;
}

bool OpenAttempts::stall_current() {
  if (std::exchange(current_->stalled, true)) {
    return false;
  }
  if (current_->uses_cache) {
    // Another attempt must not use the cache handle, which may have been taken.
    deps_.cache.note_end(AttemptOutcome::kFailed);
  }
  return true;
}

void OpenAttempts::keep_current_open() {
  if (!is_current_open()) {
    return;
  }
  if (!current_->is_prefill_call) {
    deps_.retry_limit.note_send(*current_);
  }
  current_->replicated = deps_.backup.run();
  others_.push_back(std::move(current_));
}

void OpenAttempts::end_current(AttemptOutcome verdict) {
  if (is_current_open()) {
    close(*current_, verdict);
  }
}

void OpenAttempts::end_others() {
  for (const auto& other : std::exchange(others_, {})) {
    deps_.log.note_attempt("attempt ended: no longer needed", "", other.get());
    if (other->exchange->sent()) {
      close(*other, AttemptOutcome::kAbandoned);
    } else {
      deps_.retry_limit.drop_send(*other);
      close(*other, AttemptOutcome::kNotSent);
    }
  }
}

void OpenAttempts::read_others() const {
  for (const auto& other : others_) {
    other->exchange->set_reading(true);
  }
}

/// Closes the exchange of an open attempt and updates the load table. A back end that was silent to
/// the end has failed.
void OpenAttempts::close(Attempt& attempt, AttemptOutcome verdict) {
  if (attempt.stalled && verdict == AttemptOutcome::kAbandoned) {
    verdict = AttemptOutcome::kFailed;
  }
  Environment& environment = deps_.environment;
  const MonotonicTime now = environment.clock.now();
  if (!std::exchange(attempt.prefill_ended, true)) {
    environment.loads.note_prefilled(attempt.backend, attempt.prefill_tokens);
  }
  if (attempt.observation) {
    attempt.observation->end(now);
  }
  environment.loads.end(attempt.backend, verdict, now);
  if (environment.queue != nullptr) {
    const bool worked = !attempt.is_prefill_call && !is_certainly_not_prefilled(verdict) &&
                        !attempt.statement.not_run;
    environment.queue->note_attempt_ended(service_, worked);
  }
  if (prompt_ != nullptr && is_certainly_not_prefilled(verdict)) {
    environment.loads.forget_prompt(attempt.backend, *prompt_, attempt.started);
  }
  if (attempt.uses_cache) {
    deps_.cache.note_end(verdict);
  }
  deps_.retry_limit.end_send(attempt, verdict);
  attempt.exchange.reset();
  attempt.held.reset();
  attempt.backend = BackendId();
}

Attempt* OpenAttempts::other_expected_to_answer() const {
  const auto found = std::find_if(others_.begin(), others_.end(),
                                  [](const auto& other) { return !other->stalled; });
  return found == others_.end() ? nullptr : found->get();
}

Attempt* OpenAttempts::other_heard_last() const {
  const auto found = std::max_element(
      others_.begin(), others_.end(),
      [](const auto& left, const auto& right) { return left->last_heard < right->last_heard; });
  return found == others_.end() ? nullptr : found->get();
}

bool OpenAttempts::may_run() const {
  bool may_run = false;
  for_each([&](const Attempt& attempt) {
    may_run = may_run || (!attempt.is_prefill_call && !attempt.statement.not_run);
  });
  return may_run;
}

}  // namespace ochrespring::gateway
