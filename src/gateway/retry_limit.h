// Limits the sends of one request by the route's attempts, the time left and the retry budget.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "gateway/environment.h"
#include "gateway/request_log.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// An attempt is not started with less time left.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(3);

/// Serves one request, on one event loop. The referenced objects must outlive it.
class RetryLimit {
 public:
  RetryLimit(Environment& environment, const Route& route, const RequestLog& log)
      : environment_(environment), route_(route), log_(log) {}

  /// Counts an ended attempt of which a byte may have been sent.
  void note_send() { ++sends_; }
  std::uint32_t sends() const { return sends_; }
  /// Called when a backup engine refused to resume: that send does not count towards the route's
  /// attempts.
  void exclude_send() { ++excluded_sends_; }
  /// Whether the current attempt is the last one that the route allows. With `ended`, the attempt
  /// has already been counted by note_send().
  bool is_last_attempt(bool ended) const {
    return sends_ + (ended ? 0 : 1) >= route_.max_attempts + excluded_sends_;
  }

  /// Acquires one more send, which is charged to the retry budget. Returns why it is denied, or an
  /// empty string.
  std::string_view acquire(const ServiceName& service, bool trial, Duration left);
  /// Called when a send that was charged to the budget did not take place. The next one is free.
  void refund() { ++prepaid_; }
  /// Takes one send from the retry budget. Returns false if none is left.
  bool spend(const ServiceName& service);

 private:
  Environment& environment_;
  const Route& route_;
  const RequestLog& log_;
  std::uint32_t sends_ = 0;
  std::uint32_t excluded_sends_ = 0;
  std::uint32_t prepaid_ = 0;  ///< Sends charged to the budget that did not take place.
};

}  // namespace ochrespring::gateway
