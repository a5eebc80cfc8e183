// Limits the sends of one request by the route's attempts, the time left and the retry budget.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "gateway/attempt.h"
#include "gateway/environment.h"
#include "gateway/request_log.h"
#include "gateway/request_retries.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// An attempt is not started with less time left.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(3);

/// Serves one request, on one event loop. The referenced objects must outlive it.
class RetryLimit {
 public:
  RetryLimit(Environment& environment, const Route& route, const RequestLog& log)
      : environment_(environment), route_(route), log_(log) {}

  /// Counts an attempt of which a byte may have been sent, once.
  void note_send(Attempt& attempt) { sends_ += std::exchange(attempt.counted, true) ? 0 : 1; }
  /// Takes back note_send() for an attempt of which no byte was sent.
  void drop_send(Attempt& attempt) { sends_ -= std::exchange(attempt.counted, false) ? 1 : 0; }
  /// Number of attempts counted by note_send().
  std::uint32_t sends() const { return sends_; }
  /// Called when a backup engine refused to resume: that send does not count towards the route's
  /// attempts.
  void exclude_send() { ++excluded_sends_; }
  /// Whether the route allows no further attempt. `open` is an attempt that may not be counted yet,
  /// or null.
  bool is_last_attempt(const Attempt* open) const {
    const std::uint32_t uncounted = open != nullptr && !open->counted ? 1 : 0;
    return sends_ + uncounted >= route_.max_attempts + excluded_sends_;
  }

  /// Must be called once, before the other functions.
  void begin(const ServiceName& service);
  /// Acquires one more send, which is charged to the retry budget. Returns why it is denied, or an
  /// empty string.
  std::string_view acquire(bool trial, Duration left);
  /// Charges the next send to the retry budget, unless it replaces one that did not take place.
  /// Returns false if the budget denies it.
  bool charge_send() { return next_send_ || charge(); }
  /// Charges a prefill call that returned no cache handle, in addition to the send that follows.
  bool charge_prefill() { return charge(); }
  /// Begins the send of an attempt. A prefill call uses up no charge.
  void begin_send(Attempt& attempt);
  /// Called when the back end answers.
  void note_answer(Attempt& attempt);
  /// Called when the back end has disconnected: it has read the request or never will.
  static void note_disconnect(Attempt& attempt) { attempt.pending.reset(); }
  /// Called before the exchange of an attempt is closed. If the send did not take place, the next
  /// one replaces it. If it was given up without an answer, its back end may still receive it.
  void end_send(Attempt& attempt, AttemptOutcome verdict);

 private:
  bool charge();

  Environment& environment_;
  const Route& route_;
  const RequestLog& log_;
  std::uint32_t sends_ = 0;
  std::uint32_t excluded_sends_ = 0;
  std::shared_ptr<RequestRetries> retries_;
  std::optional<PendingSend> next_send_;  ///< Allowed and not yet begun.
};

}  // namespace ochrespring::gateway
