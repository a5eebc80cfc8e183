// The log lines of one request.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/attempt.h"
#include "gateway/prompt.h"
#include "gateway/retry_budget.h"
#include "gateway/stream_timing.h"
#include "gateway/types.h"
#include "http/errc.h"
#include "logging/logger.h"

namespace ochrespring::gateway {

/// Each line contains the id and the age of the request. Used on one event loop.
class RequestLog {
 public:
  /// The referenced objects must outlive it. `tenant` is null for a request without one.
  RequestLog(const Clock& clock, logging::Logger& logger, const Route& route, const Tenant* tenant)
      : clock_(clock), logger_(logger), route_(route), tenant_(tenant) {}

  void begin(std::string id, MonotonicTime arrived) {
    id_ = std::move(id);
    arrived_ = arrived;
  }
  /// Logs an event of an attempt, or of the request if `attempt` is null.
  void note_attempt(std::string_view message, std::string_view detail,
                    const Attempt* attempt) const;
  /// Logs a failed attempt with the fingerprint, which identifies the same request under another id
  /// or at another node, and the parts of its prompt that other requests may share; `prompt` may be
  /// null.
  void note_failure(const http::HttpError& error, const Attempt& attempt, std::string fingerprint,
                    const Prompt* prompt) const;
  /// Logs that the claim to send to the chosen back end was denied.
  void note_denied(const BackendId& backend) const;
  /// Logs that a retry was charged to the budget or denied by it. `use` is what this node had
  /// charged then, this retry included; `nodes` share the budget's slack.
  void note_retry_charge(bool granted, const ServiceName& service, const RetryBudgetUse& use,
                         std::uint32_t nodes) const;

  /// How a request ended.
  struct End {
    std::string fingerprint;  ///< Empty if it was never computed.
    std::string service;
    std::string outcome;
    std::string reason;           ///< Why no back end completed the answer; empty if one did.
    std::string resumed_attempt;  ///< As named by the caller; empty: it takes up no stream.
    /// Why the last attempt was not retried; empty if no retry was needed, and if the retry budget
    /// denied the run after a failed prefill call.
    std::string not_sent_again;
    std::uint64_t attempts = 0;
    std::uint64_t attempts_stalled = 0;       ///< Silent for the progress timeout.
    std::uint64_t configuration = 0;          ///< That the request was routed by.
    std::uint64_t current_configuration = 0;  ///< When the request ended.
    std::uint64_t most_output_tokens = 0;
    std::string caller_protocol;
    bool ends_with_connection = false;         ///< Of the last attempt's answer.
    std::uint64_t incomplete_event_bytes = 0;  ///< Received behind its last complete event.
    Duration silence{};                        ///< Since the last bytes of the last attempt.
    Duration read_delay{};
  };
  void note_end(const End& end, const StreamTiming& timing) const;

 private:
  std::string tenant_name() const { return tenant_ != nullptr ? tenant_->name.value() : ""; }
  std::int64_t age() const { return to_milliseconds(clock_.now() - arrived_); }
  static std::int64_t to_milliseconds(Duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
  }
  void write(std::string_view message, std::vector<logging::Field> fields) const;

  const Clock& clock_;
  logging::Logger& logger_;
  const Route& route_;
  const Tenant* tenant_;
  std::string id_;
  MonotonicTime arrived_{};
};

}  // namespace ochrespring::gateway
