// Interface that keeps requests that crash back ends away from further back ends.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <vector>

#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// How an attempt ended without an answer.
enum class AttemptFailureKind : std::uint8_t {
  kClosed,        ///< The back end closed or reset the connection.
  kUnresponsive,  ///< Nothing was received for too long.
  kAbandoned,     ///< The caller or this node ended the request during the attempt.
};

struct FailedAttempt {
  RequestIdentity request;
  ServiceName service;
  BackendId backend;
  MonotonicTime started{};
  AttemptFailureKind kind = AttemptFailureKind::kClosed;
};

/// An attempt with a complete answer to the request, which no prefill call gets.
struct AnsweredAttempt {
  RequestIdentity request;
  BackendId backend;
  MonotonicTime started{};
  std::uint16_t status = 200;

  bool is_success() const { return status >= 200 && status < 300; }
};

/// Whether a request may be sent to a back end now.
enum class SendVerdict : std::uint8_t {
  kAllowed,
  kRefused,   ///< Back ends have terminated while running it.
  kTrialDue,  ///< As kRefused, but one node may try it again after claim_trial().
};

/// Used on one event loop.
class RequestGuard {
 public:
  virtual ~RequestGuard() = default;
  /// Whether any request is currently suspected. While none is, requests need no fingerprint and
  /// only note_failure() and note_answered_parts() may be called.
  virtual bool is_active() const = 0;
  /// Must be called before each send, including later sends of the same request.
  virtual SendVerdict check(const RequestIdentity& request) = 0;
  /// Retry-After for a refused caller: the time until the next trial may be due.
  virtual Duration retry_after(const RequestIdentity& request) const = 0;
  /// Claims the only trial that the fleet may send now. `done` is called later, never from within
  /// this call.
  virtual void claim_trial(const RequestIdentity& request,
                           std::function<void(bool granted)> done) = 0;
  /// Back ends that have terminated, as far as is known. The fleet view may still show them; a
  /// trial must not be sent there.
  virtual std::set<BackendId> terminated_backends() const = 0;
  virtual void note_failure(const FailedAttempt& attempt) = 0;
  virtual void note_answer(const AnsweredAttempt& attempt) = 0;
  /// Called with the shared prompt parts of each request that was answered with success, also while
  /// nothing is suspected.
  virtual void note_answered_parts(const std::vector<RequestFingerprint>& parts) = 0;
};

}  // namespace ochrespring::gateway
